// Case 2: a sidecar is killed and started again where discovery pushes its list, while a call to discovery
// waits in turn.
#include "stand_in.hpp"

using namespace review;

namespace {

constexpr double kWait = 2.5;      // of a call; the site file: timeout_ms = 3000
constexpr double kDownFor = 0.8;   // of the sidecar; the site file: balancer_roll, extra = 0.45 to 1.3 s
constexpr double kGrace = 0.7;     // the site file and the settings: drain_grace_ms = 700
constexpr double kSlack = 0.05;    // PROTOCOL: "every time limit is 50 ms longer"
constexpr double kPerSecond = 40;  // requests

std::string Try(int port, const std::string& id) {
  const Socket socket = Connect(port);
  if (!socket.valid()) return "no connection";
  const std::string request =
      "GET /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
      "\r\nReq-Kind: berth%2Flook?\r\nReq-Owner: quay 1, north\r\nReq-Deadline: 0.900\r\nReq-Cost: 45000\r\n\r\n";
  if (!socket.Send(request)) return "the connection broke";
  Reader reader(socket);
  Head answer;
  const double until = Now() + 1.45;
  Reader::End end = reader.ReadHead(answer, until);
  if (end == Reader::End::kComplete) end = reader.ReadBody(answer, true, until, [](std::string_view) {});
  if (end != Reader::End::kComplete) return std::string("no whole answer: ") + Name(end);
  return answer.first_line.substr(9, 3);
}

bool RuleHeld(World& world) {
  static std::mutex mutex;
  static std::vector<std::pair<double, std::string>> sends;  // to draining servers, with their time
  const std::vector<std::size_t> draining = {2, 5};  // STANDING, calm+brink: "a quarter of the servers begin to drain"
  world.AddServers(9);
  for (const auto& server : world.servers) {
    server->quiet = true;
    server->on_head = [](Server& self, const Socket&, Reader&, const Head& head) {
      const std::lock_guard lock(mutex);
      if (self.id == "s-102" || self.id == "s-105")
        sends.emplace_back(Now(), self.id + " " + head.Get("req-id"));
      return true;
    };
  }
  Sidecar& sidecar = *world.sidecar;
  sidecar.settings = HarbourSettings();
  world.Start();

  // The last list that the sidecar has.
  const std::string known = world.discovery->WholeList();
  Sleep(1);
  sidecar.Kill();
  RECORD("platform: the sidecar is killed");
  Sleep(kDownFor / 2);
  world.discovery->Drain(draining);
  Sleep(kDownFor / 2);
  if (world.trouble) world.discovery->SetCrowded(kWait, /*fails=*/false);
  sidecar.Start(*world.discovery, known);
  const double ready_at = Now();

  static std::map<std::string, int> by_end;
  static std::atomic<int> open{0};
  const double until = ready_at + 6;
  for (int n = 0; Now() < until; ++n) {
    ++open;
    std::thread([port = sidecar.port(), n] {
      const std::string end = Try(port, "r" + std::to_string(n));
      const std::lock_guard lock(mutex);
      ++by_end[end];
      --open;
    }).detach();
    Sleep(1 / kPerSecond);
  }
  for (int i = 0; i < 200 && open > 0; ++i) Sleep(0.01);
  world.WaitUntilTold(0);

  const std::lock_guard lock(mutex);
  for (const auto& [end, count] : by_end) RECORD("requests that ended with %s: %d", end.c_str(), count);
  // What the agent has counts as told from the first moment of the new process; here from when it was ready.
  const double last_allowed = ready_at + kGrace + kSlack;
  int late = 0;
  for (const auto& [time, what] : sends) {
    if (time < ready_at) continue;
    const bool allowed = time <= last_allowed;
    late += !allowed;
    RECORD("sent to a draining server at %.3f s, %.3f s after the new process was ready: %s%s", time,
           time - ready_at, what.c_str(), allowed ? "" : ": not allowed");
  }
  RECORD("sent to draining servers later than %.2f s after the new process was ready: %d requests",
         kGrace + kSlack, late);
  return late == 0;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, RuleHeld); }
