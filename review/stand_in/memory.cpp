// Case: discovery is down for 8 s while the application sends requests with bodies.
#include "stand_in.hpp"

using namespace review;

namespace {

constexpr double kOutage = 8;       // STANDING: "discovery is down for 8 s"
constexpr int kMemoryMb = 32;       // TERMS: "32 to 192 MB of memory by language and day"
constexpr int kDescriptors = 256;   // TERMS: "256 to 1,024 descriptors"
constexpr double kPerSecond = 75;   // first tries
constexpr int kRetries = 3;         // BRIEF 5.1: "up to 3 times, at once or after a short fixed wait"
constexpr double kRetryWait = 0.2;  // the site: backoff "fixed", 0.14 to 1.1 s
constexpr std::size_t kBody = 65000;  // PROTOCOL: "A body holds at most 64 KiB"

struct Counts {
  std::mutex mutex;
  std::map<std::string, int> by_end;
  int open = 0;

  void Begin() {
    const std::lock_guard lock(mutex);
    ++open;
  }
  void End(const std::string& end) {
    const std::lock_guard lock(mutex);
    ++by_end[end];
    --open;
  }
  std::string Text() {
    const std::lock_guard lock(mutex);
    std::string text;
    for (const auto& [end, count] : by_end) text += (text.empty() ? "" : ", ") + end + " " + std::to_string(count);
    return text + ", without an answer so far " + std::to_string(open);
  }
};

struct Kind {
  const char* name;
  double deadline;
  bool post;
  bool key;
};
constexpr Kind kKinds[] = {{"berth%2Flook?", 0.9, false, false}, {"crane:move", 0.7, true, false},
                           {"manifest(new)", 2.4, true, true}};

// One try of a client on a connection of its own; returns the status, or how it ended without one.
std::string Try(int port, const Kind& kind, const std::string& id, bool retry) {
  const Socket socket = Connect(port);
  if (!socket.valid()) return "no connection";
  const double deadline = kind.deadline * 0.5;  // BRIEF 5.2: 42 to 55% of the give-up time
  char head[600];
  std::snprintf(head, sizeof head,
                "%s /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: quay 1, north\r\n"
                "Req-Deadline: %.3f\r\nReq-Cost: 45000\r\n%s%s",
                kind.post ? "POST" : "GET", id.c_str(), kind.name, deadline, retry ? "Req-Retry: 1\r\n" : "",
                kind.key ? ("Idempotency-Key: k" + id + "\r\n").c_str() : "");
  std::string request = head;
  if (kind.post) request += "Content-Length: " + std::to_string(kBody) + "\r\n";
  request += "\r\n";
  if (kind.post) request.append(kBody, 'b');
  if (!socket.Send(request)) return "the connection broke";
  Reader reader(socket);
  Head answer;
  const double until = Now() + deadline + 0.55;
  Reader::End end = reader.ReadHead(answer, until);
  if (end == Reader::End::kComplete) end = reader.ReadBody(answer, true, until, [](std::string_view) {});
  if (end != Reader::End::kComplete) return std::string("no whole answer: ") + Name(end);
  return answer.first_line.substr(9, 3);
}

bool RuleHeld(World& world) {
  world.AddServers(9);
  for (const auto& server : world.servers) server->quiet = true;
  Sidecar& sidecar = *world.sidecar;
  sidecar.settings = HarbourSettings();
  sidecar.memory_mb = kMemoryMb;
  sidecar.sockets = kDescriptors;
  world.Start();
  RECORD("platform: the memory limit is %d MB; the sidecar uses %.1f MB", kMemoryMb, sidecar.MemoryMb());

  static Counts counts;
  static std::atomic<int> last_id{0};
  static std::atomic<bool> sending{true};
  const int port = sidecar.port();
  std::thread([port] {
    const double began = Now();
    for (int n = 0; sending; ++n) {
      while (Now() < began + n / kPerSecond) Sleep(0.001);
      // The classes at their shares: 45%, 30% and 25%.
      const Kind& kind = kKinds[n * 7 % 20 < 9 ? 0 : n * 7 % 20 < 15 ? 1 : 2];
      std::thread([port, &kind] {
        for (int tries = 0; tries <= kRetries; ++tries) {
          counts.Begin();
          const std::string end = Try(port, kind, "r" + std::to_string(++last_id), tries > 0);
          counts.End(end);
          if (end != "503") return;  // a class that isn't safe is retried only after a refusal
          Sleep(kRetryWait);
        }
      }).detach();
    }
  }).detach();

  const double down_from = Now() + 5;
  const double down_until = down_from + kOutage;
  const double end = down_until + 6;
  bool down = false;
  double most = 0;
  double next_line = 0;
  while (Now() < end) {
    if (world.trouble && down != (Now() >= down_from && Now() < down_until)) world.discovery->SetDown(down = !down);
    if (Now() >= end - 4) sending = false;
    if (sidecar.Ended()) {
      RECORD("the sidecar has ended: %s", sidecar.HowEnded().c_str());
      return false;
    }
    const double memory = sidecar.MemoryMb();
    most = std::max(most, memory);
    if (Now() >= next_line) {
      RECORD("the sidecar uses %.1f MB; tries: %s", memory, counts.Text().c_str());
      next_line = Now() + 0.5;
    }
    if (memory > kMemoryMb) {
      RECORD("platform: the sidecar uses %.1f MB, over its limit of %d MB: it is killed", memory, kMemoryMb);
      sidecar.Kill();
      Sleep(0.3);
      RECORD("tries by their end: %s", counts.Text().c_str());
      return false;
    }
    Sleep(0.01);
  }
  RECORD("tries by their end: %s; the sidecar used up to %.1f MB", counts.Text().c_str(), most);
  return true;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
