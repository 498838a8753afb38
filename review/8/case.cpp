// Case 8: four of six sidecars are killed and started again with their last list; two of ten servers begin to
// drain in between; discovery is slow and answers each call after 2.8 s. Checks when the sidecars stop sending
// to these servers.
#include "rig.hpp"

namespace {

constexpr int kSidecars = 6;
constexpr int kKilled = 4;
constexpr int kServers = 10;
constexpr int kDraining[] = {2, 5};     // indices of the servers that drain
constexpr double kDown = 1.3;           // from the kill to the new start
constexpr double kAnswerAfter = 2.8;    // of a call to discovery, in order
constexpr double kToldAtTheLatest = 6;  // after discovery had the change and could be reached
constexpr double kGrace = 0.3;
constexpr double kSlack = 0.05 + 0.1;   // of the rules on sockets, and for this program's own delays

bool Run(const std::string& folder) {
  const bool trouble = rig::WithTrouble();
  const rig::Kind kind{"Req-Kind: sklad-odczyt\r\n", 1.0};
  const auto entry = [](const rig::Server& server, const char* lifecycle) {
    return server.Entry(lifecycle, "warszawa", "maly");
  };
  std::vector<rig::Server*> servers;
  rig::Discovery& discovery = rig::Forever<rig::Discovery>(kSidecars);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(&rig::Forever<rig::Server>("s" + std::to_string(i), 0.06));
    discovery.Put(entry(*servers.back(), "up"));
  }
  std::vector<std::unique_ptr<rig::Sidecar>> sidecars;
  for (int i = 0; i < kSidecars; ++i) {
    sidecars.push_back(std::make_unique<rig::Sidecar>(i, rig::LigaSettings(kSidecars, i), discovery.port(i), folder));
    sidecars.back()->Start(discovery.FullList());
  }
  for (const auto& sidecar : sidecars) sidecar->WaitUntilReady();
  std::vector<std::unique_ptr<rig::SteadyClient>> clients;
  for (int i = 0; i < kSidecars * 4; ++i)
    clients.push_back(std::make_unique<rig::SteadyClient>(i % kSidecars, sidecars[i % kSidecars]->port(), 0.06, kind));
  const double limit = rig::Now() + 12;
  for (int i = 0; i < kSidecars; ++i)
    while (discovery.watches(i) == 0) {
      if (rig::Now() > limit) throw rig::CannotRun("no watch was opened");
      rig::Sleep(0.05);
    }
  rig::Sleep(2);

  const rig::Json known = discovery.FullList();
  if (trouble) {
    rig::Record::Line("trouble: discovery is slow from here on, and %d sidecars are killed", kKilled);
    discovery.SetHandling({kAnswerAfter, false});
    for (int i = 0; i < kKilled; ++i) sidecars[i]->Kill();
  }
  const double made = rig::Now();
  for (const int draining : kDraining) discovery.Put(entry(*servers[draining], "draining"));
  const std::int64_t generation = discovery.generation();
  if (trouble) {
    rig::SleepUntil(made + kDown);
    for (int i = 0; i < kKilled; ++i) sidecars[i]->Start(known);
  }
  rig::SleepUntil(made + 12);
  const double end = rig::Now();
  int served = 0;
  for (const auto& client : clients) served += client->served();
  clients.clear();

  int before = 0, late = 0;
  std::vector<double> told(kSidecars);
  for (int i = 0; i < kSidecars; ++i) {
    const double written = discovery.WrittenAt(i, generation);
    told[i] = written < 0 ? made + kToldAtTheLatest : std::min(written, made + kToldAtTheLatest);
    rig::Record::Line("check: sidecar %d was told at %.3f; written to it at %.3f", i, told[i], written);
  }
  std::vector<rig::Arrival> arrivals;
  for (const int draining : kDraining)
    for (const rig::Arrival& arrival : servers[draining]->arrivals()) arrivals.push_back(arrival);
  for (const rig::Arrival& arrival : arrivals) {
    const int sidecar = rig::SidecarOf(arrival.id);
    if (sidecar < 0) continue;
    before += arrival.first_byte < made;
    if (arrival.first_byte <= told[sidecar] + kGrace + kSlack || arrival.first_byte > end) continue;
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
