// Case: the machine of one server falls silent while a long request is being passed on to it.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "stand_in.hpp"

using namespace review;

namespace {

const std::size_t kBody = std::getenv("KB") ? std::size_t(atoi(std::getenv("KB"))) << 10 : std::size_t{6} << 20;  // "answers and bodies reach 32 MB"
constexpr double kDeadline = 2.6;                    // 43% of 6 s: BRIEF 5.2
constexpr double kAllowed = 0.5 + 0.05;              // "up to half a second after its time", and the 50 ms
constexpr double kSilence = 15;                      // BRIEF 7.1: 10 to 26 s

bool RuleHeld(World& world) {
  std::atomic<double> last_byte{0};
  std::atomic<bool> silent_chosen{false};
  world.AddServers(10);
  for (const auto& server : world.servers)
    server->on_head = [&](Server& self, const Socket&, Reader&, const Head& head) {
      if (!world.trouble || head.Get("req-id") != "upload-1" || silent_chosen.exchange(true)) return true;
      // From here on the machine is silent: the connection stays open and quiet.
      RECORD("server %s: head of upload-1 arrived; its machine falls silent for %.0f s", self.id.c_str(), kSilence);
      Sleep(kSilence);
      RECORD("server %s: back, its connections are reset", self.id.c_str());
      return false;
    };
  world.Start();

  Socket client = Connect(world.sidecar->port());
  const std::string body(kBody, 'x');
  char head[512];
  std::snprintf(head, sizeof head,
                "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: upload-1\r\nReq-Kind: schakel-opdracht\r\n"
                "Req-Owner: gem-a\r\nReq-Deadline: %.3f\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"
                "Content-Length: %zu\r\n\r\n",
                kDeadline, kBody);
  if (!client.Send(head)) throw CannotRun{"the request could not be sent"};
  if (!client.Send(body)) throw CannotRun{"the request could not be sent"};
  last_byte = Now();
  int unacknowledged = 0;
  ::ioctl(client.fd(), SIOCOUTQ, &unacknowledged);
  RECORD("client: last byte of upload-1 written (%d bytes not yet acknowledged by the sidecar's machine)",
         unacknowledged);
  Reader reader(client);
  Head answer;
  double acknowledged_at = unacknowledged == 0 ? Now() : 0;
  while (!client.Readable(0.02) && Now() - last_byte < 30) {
    ::ioctl(client.fd(), SIOCOUTQ, &unacknowledged);
    if (unacknowledged == 0 && acknowledged_at == 0) {
      acknowledged_at = Now();
      RECORD("client: the sidecar's machine has acknowledged the last byte");
    }
  }
  const Reader::End end = reader.ReadHead(answer, last_byte + 30);
  const double took = Now() - last_byte;
  RECORD("client: upload-1: %s, '%s', %.3f s after its last byte; its time was %.3f s", Name(end),
         answer.first_line.c_str(), took, kDeadline);
  return end == Reader::End::kComplete && took <= kDeadline + kAllowed;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
