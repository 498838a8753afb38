// Case 10: six new configurations, 2 s apart, each naming another address of discovery; discovery is slow and answers
// each call after 2.5 s; two of nine servers drain. Checks when the sidecars stop sending to these servers.
#include "rig.hpp"

namespace {

constexpr int kSidecars = 4;
constexpr int kServers = 9;
constexpr int kDraining[] = {2, 6};      // indices of the servers that drain
constexpr int kSignals = 6;              // one without the disruption
constexpr double kBetween = 2.0;         // two signals
constexpr double kAnswerAfter = 2.5;     // of a call to discovery, in order
constexpr double kClosesAfter = 1.5;     // the connections of an old address
constexpr double kToldAfterSignal = 4;   // what discovery has to report
constexpr double kGrace = 2;
constexpr double kSlack = 0.05 + 0.1;    // of the rules on sockets, and for this program's own delays

bool Run(const std::string& folder) {
  const int signals = rig::WithTrouble() ? kSignals : 1;
  std::vector<rig::Server*> servers;
  // The first address, and those that the new configurations name: one for each sidecar and signal.
  rig::Discovery& first = rig::Forever<rig::Discovery>(kSidecars);
  rig::Discovery& later = rig::Forever<rig::Discovery>(kSidecars * signals);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(&rig::Forever<rig::Server>("s" + std::to_string(i)));
    first.Put(servers.back()->Entry());
    later.Put(servers.back()->Entry());
  }
  later.SetHandling({kAnswerAfter, false, 0});
  std::vector<std::unique_ptr<rig::Sidecar>> sidecars;
  for (int i = 0; i < kSidecars; ++i) {
    sidecars.push_back(std::make_unique<rig::Sidecar>(i, rig::LichtnetSettings(kSidecars, i), first.port(i), folder));
    sidecars.back()->Start(first.FullList());
  }
  for (const auto& sidecar : sidecars) sidecar->WaitUntilReady();
  std::vector<std::unique_ptr<rig::SteadyClient>> clients;
  for (int i = 0; i < kSidecars * 4; ++i)
    clients.push_back(std::make_unique<rig::SteadyClient>(i % kSidecars, sidecars[i % kSidecars]->port(), 0.06));
  const double limit = rig::Now() + 12;
  for (int i = 0; i < kSidecars; ++i)
    while (first.watches(i) == 0) {
      if (rig::Now() > limit) throw rig::CannotRun("no watch was opened");
      rig::Sleep(0.05);
    }
  rig::Sleep(2);

  const double signalled = rig::Now();
  for (int k = 0; k < signals; ++k) {
    rig::SleepUntil(signalled + k * kBetween);
    for (int i = 0; i < kSidecars; ++i) {
      if (k == 0) first.StopAccepting(i);
      if (k > 0) later.StopAccepting((k - 1) * kSidecars + i);
      sidecars[i]->Reload(later.port(k * kSidecars + i));
    }
    if (k > 0) continue;
    for (const int draining : kDraining) later.Put(servers[draining]->Entry("draining"));
    rig::SleepUntil(signalled + kClosesAfter);
    first.EndWatches();
  }
  const std::int64_t generation = later.generation();
  rig::SleepUntil(signalled + kSignals * kBetween + 4);
  int served = 0;
  for (const auto& client : clients) served += client->served();
  clients.clear();

  int before = 0, late = 0;
  std::vector<double> told(kSidecars, signalled + kToldAfterSignal);
  for (int i = 0; i < kSidecars; ++i) {
    for (int k = 0; k < signals; ++k) {
      const double written = later.WrittenAt(k * kSidecars + i, generation);
      if (written < 0) continue;
      told[i] = std::min(told[i], written);
      rig::Record::Line("check: sidecar %d got the list %.3f s after the first signal", i, written - signalled);
      break;
    }
    rig::Record::Line("check: sidecar %d was told %.3f s after the first signal", i, told[i] - signalled);
  }
  for (const int draining : kDraining)
    for (const rig::Arrival& arrival : servers[draining]->arrivals()) {
      const int sidecar = rig::SidecarOf(arrival.id);
      if (sidecar < 0) continue;
      before += arrival.first_byte < signalled;
      if (arrival.first_byte <= told[sidecar] + kGrace + kSlack) continue;
      ++late;
      rig::Record::Line("check: %s was sent to %s %.3f s after its grace", arrival.id.c_str(), arrival.server.c_str(),
                        arrival.first_byte - told[sidecar] - kGrace);
    }
  std::printf("%d requests served; to the draining servers: %d before the drain, %d after its grace\n", served, before,
              late);
  if (before == 0) throw rig::CannotRun("the draining servers were not in use");
  return late == 0;
}

}  // namespace

int main() { rig::Main(Run); }
