// Case: a client takes a long answer slowly, but faster than the slowest that the pages name.
#include "stand_in.hpp"

using namespace review;

namespace {

constexpr std::size_t kAnswer = std::size_t{12} << 20;  // "answers and bodies reach 32 MB"
constexpr double kSlowRate = 100'000;                   // bytes a second; the pages name 64 kB a second
constexpr double kFastRate = 4'000'000;

bool RuleHeld(World& world) {
  const double rate = world.trouble ? kSlowRate : kFastRate;
  std::string body(kAnswer, ' ');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>('a' + (i / 1000) % 26);
  world.AddServers(9);
  for (const auto& server : world.servers)
    server->on_request = [&](Server& self, const Socket& socket, const ServerRequest& request) {
      RECORD("server %s: begins its answer to %s, %zu bytes", self.id.c_str(), request.id().c_str(), kAnswer);
      const bool sent = socket.Send(Server::Ok(body));
      RECORD("server %s: answer to %s %s", self.id.c_str(), request.id().c_str(),
             sent ? "written completely" : "cut off: the sidecar has closed the connection");
      return sent;
    };
  world.Start();

  Socket client = Connect(world.sidecar->port());
  if (!client.Send("GET /api?obj=lamp-7 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: long-1\r\nReq-Kind: status\r\n"
                   "Req-Owner: gem-a\r\nReq-Deadline: 2.700\r\n\r\n"))
    throw CannotRun{"the request could not be sent"};
  RECORD("client: request long-1 written completely; reads its answer at %.0f bytes a second", rate);
  Reader reader(client);
  reader.SetMaxRead(8192);
  Head head;
  if (reader.ReadHead(head, Now() + 3) != Reader::End::kComplete ||
      head.first_line.find(" 200") == std::string::npos)
    throw CannotRun{"the long answer did not begin: " + head.first_line};
  RECORD("client: the answer to long-1 begins: %s, Content-Length %s", head.first_line.c_str(),
         head.Get("content-length").c_str());
  const double began = Now();
  double last_read = began, longest_pause = 0;
  std::size_t received = 0;
  bool right = true;
  // The test ends before the whole answer can have come at the slow rate: what counts is whether the
  // connection ends before that.
  const Reader::End end = reader.ReadBody(head, true, began + 100, [&](std::string_view data) {
    for (std::size_t i = 0; i < data.size(); ++i)
      right = right && data[i] == static_cast<char>('a' + ((received + i) / 1000) % 26);
    received += data.size();
    longest_pause = std::max(longest_pause, Now() - last_read);
    last_read = Now();
    const double ahead = static_cast<double>(received) / rate - (Now() - began);
    if (ahead > 0) Sleep(ahead);
  });
  RECORD("client: the answer to long-1 ends after %.3f s: %s, %zu of %zu bytes, %s; longest time between two "
         "reads %.3f s; the sidecar: %s",
         Now() - began, Name(end), received, kAnswer, right ? "all of them right" : "some of them wrong",
         longest_pause, world.sidecar->Ended() ? world.sidecar->HowEnded().c_str() : "running");
  if (end == Reader::End::kTimeout) return right;  // still being answered
  return end == Reader::End::kComplete && received == kAnswer && right;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
