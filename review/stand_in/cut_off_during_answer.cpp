// Case: the machine of one server is cut off for 6 s in the middle of a long answer, and then goes on.
#include "stand_in.hpp"

using namespace review;

namespace {

constexpr std::size_t kAnswer = std::size_t{2} << 20;  // "answers and bodies reach 32 MB"
constexpr std::size_t kBefore = std::size_t{1} << 20;  // written before the cut
constexpr double kCut = 6;                             // STANDING, split+mass: "for 6 s"

bool RuleHeld(World& world) {
  std::string body(kAnswer, ' ');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>('a' + (i / 1000) % 26);
  std::atomic<bool> whole_sent{false};
  world.AddServers(10);
  for (const auto& server : world.servers)
    server->on_request = [&](Server& self, const Socket& socket, const ServerRequest& request) {
      RECORD("server %s: begins its answer to %s, %zu bytes", self.id.c_str(), request.id().c_str(), kAnswer);
      const std::string answer = Server::Ok(body);
      bool sent = socket.Send(std::string_view(answer).substr(0, kBefore));
      if (sent && world.trouble) {
        RECORD("network: the machine of server %s is cut off; its connections stay open and quiet", self.id.c_str());
        Sleep(kCut);
        RECORD("network: the machine of server %s is back after %.0f s", self.id.c_str(), kCut);
      }
      sent = sent && socket.Send(std::string_view(answer).substr(kBefore));
      RECORD("server %s: answer to %s %s", self.id.c_str(), request.id().c_str(),
             sent ? "written completely" : "cut off: the sidecar has closed the connection");
      whole_sent = sent;
      return sent;
    };
  world.Start();

  Socket client = Connect(world.sidecar->port());
  if (!client.Send("GET /api?obj=lamp-7 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: long-1\r\nReq-Kind: status\r\n"
                   "Req-Owner: gem-a\r\nReq-Deadline: 2.700\r\n\r\n"))
    throw CannotRun{"the request could not be sent"};
  RECORD("client: request long-1 written completely");
  Reader reader(client);
  Head head;
  if (reader.ReadHead(head, Now() + 3) != Reader::End::kComplete ||
      head.first_line.find(" 200") == std::string::npos)
    throw CannotRun{"the long answer did not begin: " + head.first_line};
  const double began = Now();
  std::size_t received = 0;
  bool right = true;
  const Reader::End end = reader.ReadBody(head, true, began + 60, [&](std::string_view data) {
    for (std::size_t i = 0; i < data.size(); ++i)
      right = right && data[i] == static_cast<char>('a' + ((received + i) / 1000) % 26);
    received += data.size();
  });
  RECORD("client: the answer to long-1 ends after %.3f s: %s, %zu of %zu bytes, %s", Now() - began, Name(end),
         received, kAnswer, right ? "all of them right" : "some of them wrong");
  Sleep(world.trouble ? std::max(0.0, began + kCut + 0.5 - Now()) : 0);  // for the server's side of the record
  return end == Reader::End::kComplete && received == kAnswer && right;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
