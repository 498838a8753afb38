// Case: a client reads a large answer slowly and steadily, while the server gives it at once.
#include "stand_in.hpp"

using namespace review;

namespace {

constexpr std::size_t kAnswer = 8'000'000;  // DAYS: "answers and bodies reach 32 MB"
constexpr double kRate = 128'000;           // bytes per second; DAYS: "a body at 64 kB a second"
constexpr std::size_t kPiece = 4'000;       // read at once

bool RuleHeld(World& world) {
  world.AddServers(9);
  static std::atomic<std::size_t> given{0};
  for (const auto& server : world.servers)
    server->on_request = [](Server& self, const Socket& socket, const ServerRequest& request) {
      RECORD("server %s: answers %s with %zu bytes", self.id.c_str(), request.id().c_str(), kAnswer);
      if (!socket.Send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(kAnswer) +
                       "\r\n\r\n"))
        return false;
      const std::string piece(16'000, 'a');
      while (given < kAnswer) {
        if (!socket.Send(piece)) {
          RECORD("server %s: the sidecar ended the connection after %zu bytes", self.id.c_str(), given.load());
          return false;
        }
        given += piece.size();
      }
      RECORD("server %s: the answer is written whole", self.id.c_str());
      return true;
    };
  world.Start();

  const Socket socket = Connect(world.sidecar->port());
  if (!socket.Send("GET /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: r1\r\nReq-Kind: status\r\nReq-Owner: gem-a\r\n"
                   "Req-Deadline: 3.000\r\n\r\n"))
    throw CannotRun{"the request could not be sent"};
  Reader reader(socket);
  if (world.trouble) reader.SetMaxRead(kPiece);
  Head answer;
  if (reader.ReadHead(answer, Now() + 4) != Reader::End::kComplete) throw CannotRun{"no answer in time"};
  const double began = Now();
  RECORD("client: the answer has begun: %s, Content-Length %s", answer.first_line.c_str(),
         answer.Get("content-length").c_str());
  std::size_t read = 0;
  double next_line = began + 5;
  const Reader::End end = reader.ReadBody(answer, true, began + 100, [&](std::string_view data) {
    read += data.size();
    if (!world.trouble) return;
    while (Now() < began + static_cast<double>(read) / kRate) Sleep(0.001);
    if (Now() < next_line) return;
    next_line += 5;
    RECORD("client: %zu bytes read, %.0f a second", read, static_cast<double>(read) / (Now() - began));
  });
  RECORD("client: the answer ended after %.1f s and %zu of %zu bytes: %s", Now() - began, read, kAnswer, Name(end));
  return end == Reader::End::kComplete && read == kAnswer;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
