// Case: a planned restart while a client still receives a long answer.
#include "stand_in.hpp"

using namespace review;

namespace {

constexpr std::size_t kAnswer = std::size_t{16} << 20;  // "answers and bodies reach 32 MB"
constexpr double kClientRate = 1 << 20;                 // bytes a second; the page allows 64 kB a second
constexpr double kKillAfter = 30;                       // "no sooner than" 3.7 s after SIGTERM

std::string Body() {
  std::string body(kAnswer, ' ');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>('a' + (i / 1000) % 26);
  return body;
}

bool RuleHeld(World& world) {
  const std::string body = Body();
  world.AddServers(9);
  for (const auto& server : world.servers)
    server->on_request = [&](Server& self, const Socket& socket, const ServerRequest& request) {
      if (request.id() != "long-1") return socket.Send(Server::Ok("served " + request.id() + "\n"));
      RECORD("server %s: begins its answer to %s, %zu bytes", self.id.c_str(), request.id().c_str(), kAnswer);
      const bool sent = socket.Send(Server::Ok(body));
      RECORD("server %s: answer to %s %s", self.id.c_str(), request.id().c_str(),
             sent ? "written completely" : "cut off: the sidecar has closed the connection");
      return sent;
    };
  world.Start();

  Socket client = Connect(world.sidecar->port());
  const int receive_buffer = 65536;
  ::setsockopt(client.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (!client.Send("GET /api?obj=lamp-7 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: long-1\r\nReq-Kind: status\r\n"
                   "Req-Owner: gem-a\r\nReq-Deadline: 2.700\r\n\r\n"))
    throw CannotRun{"the request could not be sent"};
  RECORD("client: request long-1 written completely");
  Reader reader(client);
  reader.SetMaxRead(16384);
  Head head;
  if (reader.ReadHead(head, Now() + 3) != Reader::End::kComplete || head.first_line.find(" 200") == std::string::npos)
    throw CannotRun{"the long answer did not begin: " + head.first_line};
  RECORD("client: the answer to long-1 begins: %s", head.first_line.c_str());

  const double began = Now();
  std::size_t received = 0;
  bool right = true;
  bool terminated = !world.trouble;
  double terminated_at = 0, ended_at = 0;
  const auto platform = [&] {
    if (!terminated && Now() - began >= 1) {
      terminated = true;
      terminated_at = Now();
      world.sidecar->Signal(SIGTERM);
      RECORD("platform: SIGTERM to the sidecar; client has received %zu bytes of long-1", received);
    }
    if (terminated_at > 0 && ended_at == 0 && world.sidecar->Ended()) {
      ended_at = Now();
      RECORD("platform: the sidecar has ended by itself %.3f s after SIGTERM (%s); no SIGKILL was sent",
             ended_at - terminated_at, world.sidecar->HowEnded().c_str());
    }
    if (terminated_at > 0 && ended_at == 0 && Now() - terminated_at > kKillAfter) {
      RECORD("platform: SIGKILL %.3f s after SIGTERM", Now() - terminated_at);
      world.sidecar->Kill();
    }
  };
  const Reader::End end = reader.ReadBody(head, true, Now() + 60, [&](std::string_view data) {
    for (std::size_t i = 0; i < data.size(); ++i)
      right = right && data[i] == static_cast<char>('a' + ((received + i) / 1000) % 26);
    received += data.size();
    platform();
    const double ahead = static_cast<double>(received) / kClientRate - (Now() - began);
    if (ahead > 0) Sleep(ahead);
  });
  platform();
  RECORD("client: the answer to long-1 ends after %.3f s: %s, %zu of %zu bytes, %s", Now() - began, Name(end),
         received, kAnswer, right ? "all of them right" : "some of them wrong");
  const bool whole = end == Reader::End::kComplete && received == kAnswer && right;
  if (!whole && world.trouble && ended_at == 0) throw CannotRun{"cut off, but not by the sidecar's own end"};
  return whole;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
