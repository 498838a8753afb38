// Case: discovery is crowded twice, and the sidecar is killed for the memory of requests that it has refused then.
#include "stand_in.hpp"

using namespace review;

namespace {

constexpr int kUsers = 75;              // each begins one request a second; BRIEF 1.1 and 1.4: 97 a second at 3 to
                                        // 5 sidecars, "some far more"
constexpr int kRetries = 3;             // BRIEF 5.1: "up to 3 times, at once"
constexpr std::size_t kBody = 65536;     // PROTOCOL: "A body holds at most 64 KiB"
constexpr int kMemoryMb = 40;           // TERMS: "32 to 192 MB of memory by language and day"
constexpr double kLength = 58;
struct Crowd {
  double from, until;
};
constexpr Crowd kCrowds[] = {{6, 21}, {32, 47}};

std::atomic<int> served{0}, refused{0}, failed{0}, unanswered{0}, last_id{0};

// One user: a request a second, up to three more tries at once after a refusal. The connection is kept.
void Use(World& world, int number, double end) {
  Socket socket;
  std::unique_ptr<Reader> reader;
  const std::string body(kBody, 'x');
  for (double next = Now() + number / static_cast<double>(kUsers); Now() < end; next += 1) {
    Sleep(std::max(0.0, next - Now()));
    const bool keyed = last_id % 100 < 42;  // BRIEF 3: 42% of the requests
    for (int attempt = 0; attempt <= kRetries; ++attempt) {
      if (!socket.valid()) {
        socket = Connect(world.sidecar->port());
        reader = std::make_unique<Reader>(socket);
      }
      const std::string id = "r-" + std::to_string(++last_id);
      std::string request = keyed ? "POST /api HTTP/1.1\r\n" : "GET /api?obj=lamp-7 HTTP/1.1\r\n";
      request += "Host: origin.svc\r\nReq-Id: " + id + "\r\nReq-Owner: gem-a\r\nReq-Deadline: 2.700\r\n";
      if (attempt > 0) request += "Req-Retry: 1\r\n";
      request += keyed ? "Req-Kind: schakel-opdracht\r\nIdempotency-Key: k-" + id +
                             "\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" + body
                       : "Req-Kind: status\r\n\r\n";
      Head head;
      int status = 0;
      if (socket.valid() && socket.Send(request) &&
          reader->ReadHead(head, Now() + 3.25) == Reader::End::kComplete &&
          reader->ReadBody(head, true, Now() + 1, [](std::string_view) {}) == Reader::End::kComplete)
        status = std::atoi(head.first_line.substr(9, 3).c_str());
      ++(status == 200 ? served : status == 503 || status == 429 ? refused : status > 0 ? failed : unanswered);
      if (status == 0 || Lower(head.Get("connection")) == "close") socket = Socket();
      if (status != 503 && status != 429) break;
    }
  }
}

bool RuleHeld(World& world) {
  world.AddServers(10);
  for (const auto& server : world.servers) {
    server->quiet = true;
    server->service_time = 0.1;
  }
  world.sidecar->memory_mb = kMemoryMb;
  world.Start();
  Sleep(6);  // the sidecar watches the list
  const double began = Now(), end = began + kLength;
  std::vector<std::thread> users;
  for (int i = 0; i < kUsers; ++i) users.emplace_back([&world, i, end] { Use(world, i, end); });
  bool held = true;
  bool crowded = false;
  double next_record = 0;
  while (Now() < end && held) {
    const double at = Now() - began;
    const bool now_crowded = world.trouble && std::any_of(std::begin(kCrowds), std::end(kCrowds), [&](const Crowd& c) {
                               return at >= c.from && at < c.until;
                             });
    if (now_crowded != std::exchange(crowded, now_crowded)) world.discovery->SetCrowded(crowded);
    const double memory = world.sidecar->MemoryMb();
    if (at >= next_record) {
      next_record += 2;
      RECORD("platform: the sidecar's private memory is %.1f MB of %d; users: served %d, refused %d, failed %d, "
             "unanswered %d",
             memory, kMemoryMb, served.load(), refused.load(), failed.load(), unanswered.load());
    }
    if (memory > kMemoryMb) {
      RECORD("platform: the sidecar's private memory is %.1f MB, over its limit of %d MB: it is killed", memory,
             kMemoryMb);
      world.sidecar->Kill();
      held = false;
    }
    if (held && world.sidecar->Ended()) {
      RECORD("platform: the sidecar has ended: %s", world.sidecar->HowEnded().c_str());
      held = false;
    }
    Sleep(0.05);
  }
  for (std::thread& user : users) user.detach();
  return held;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
