// Case 9: the watches end, discovery is crowded and answers every call with 503 after 3 s, and meanwhile one
// server begins to drain. Checks when the sidecars stop sending to it.
#include "rig.hpp"

namespace {

constexpr int kSidecars = 4;
constexpr int kServers = 9;
constexpr int kDraining = 4;            // index of the server that drains
constexpr double kCrowded = 14;         // how long discovery is crowded
constexpr double kCallTimeout = 3;      // a call that has waited this long fails
constexpr double kToldAtTheLatest = 6;  // after discovery had the change and could be reached
constexpr double kGrace = 2;
constexpr double kSlack = 0.05 + 0.1;   // of the rules on sockets, and for this program's own delays

bool Run(const std::string& folder) {
  const bool trouble = rig::WithTrouble();
  std::vector<rig::Server*> servers;
  rig::Discovery& discovery = rig::Forever<rig::Discovery>(kSidecars);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(&rig::Forever<rig::Server>("s" + std::to_string(i)));
    discovery.Put(servers.back()->Entry());
  }
  std::vector<std::unique_ptr<rig::Sidecar>> sidecars;
  for (int i = 0; i < kSidecars; ++i) {
    sidecars.push_back(std::make_unique<rig::Sidecar>(i, rig::LichtnetSettings(kSidecars, i), discovery.port(i), folder));
    sidecars.back()->Start(discovery.FullList());
  }
  for (const auto& sidecar : sidecars) sidecar->WaitUntilReady();
  std::vector<std::unique_ptr<rig::SteadyClient>> clients;
  for (int i = 0; i < kSidecars * 4; ++i)
    clients.push_back(std::make_unique<rig::SteadyClient>(i % kSidecars, sidecars[i % kSidecars]->port(), 0.06));
  const double limit = rig::Now() + 12;
  for (int i = 0; i < kSidecars; ++i)
    while (discovery.watches(i) == 0) {
      if (rig::Now() > limit) throw rig::CannotRun("no watch was opened");
      rig::Sleep(0.05);
    }
  rig::Sleep(2);

  if (trouble) {
    rig::Record::Line("trouble: discovery is crowded from here on");
    discovery.SetHandling({kCallTimeout, true});
    discovery.EndWatches();
    rig::Sleep(0.2);
  }
  const double made = rig::Now();
  discovery.Put(servers[kDraining]->Entry("draining"));
  const std::int64_t generation = discovery.generation();
  rig::SleepUntil(made + kCrowded);
  discovery.SetHandling({});
  rig::Sleep(4);
  const double end = rig::Now();
  int served = 0;
  for (const auto& client : clients) served += client->served();
  clients.clear();

  std::vector<int> late(kSidecars, 0), before(kSidecars, 0);
  std::vector<double> told(kSidecars);
  for (int i = 0; i < kSidecars; ++i) {
    const double written = discovery.WrittenAt(i, generation);
    told[i] = written < 0 ? made + kToldAtTheLatest : std::min(written, made + kToldAtTheLatest);
    rig::Record::Line("check: sidecar %d was told at %.3f", i, told[i]);
  }
  for (const rig::Arrival& arrival : servers[kDraining]->arrivals()) {
    const int sidecar = rig::SidecarOf(arrival.id);
    if (sidecar < 0) continue;
    if (arrival.first_byte < made) ++before[sidecar];
    if (arrival.first_byte <= told[sidecar] + kGrace + kSlack || arrival.first_byte > end) continue;
    ++late[sidecar];
    rig::Record::Line("check: %s was sent to the draining server %.3f s after its grace", arrival.id.c_str(),
                      arrival.first_byte - told[sidecar] - kGrace);
  }
  int total = 0, total_before = 0;
  for (int i = 0; i < kSidecars; ++i) total += late[i], total_before += before[i];
  std::printf("%d requests served; to the draining server: %d before the drain, %d after its grace\n", served,
              total_before, total);
  if (total_before == 0) throw rig::CannotRun("the draining server was not in use");
  return total == 0;
}

}  // namespace

int main() { rig::Main(Run); }
