// The plain records of the decision module, and its random numbers. No decision is taken here.
#ifndef MERLINRUN_SRC_RECORDS_HPP_
#define MERLINRUN_SRC_RECORDS_HPP_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// The mean of all that was seen, then a fading one: one that begins at a guess or at its first value alone is
// far off for as many values as it remembers.
struct Mean {
  double value = 0;
  double seen = 0;

  void Add(double next, double memory) {
    seen = std::min(seen + 1, memory);
    value += (next - value) / seen;
  }
};

// How long answers took against what is usual for their class and cost: sums of both that fade, so that a
// dear request tells more than a cheap one and no single one much.
struct Pace {
  double taken = 0;
  double usual = 0;

  void Add(double time, double expected, double memory) {
    taken += time - taken / memory;
    usual += expected - usual / memory;
  }
};

// Sends that a young server may still be given. Reckoned in two ways, of which the one that has come to more
// holds: adding up the better of each moment would come to more than either allows.
struct Credit {
  double left = 0;
  std::int64_t served_then = 0;  // what this sidecar had been served when it was last reckoned
  Micros then = 0;
  double by_served = 0;  // earned by what this sidecar has been served since
  double by_time = 0;    // earned by what it is usually served in that time
  double granted = 0;

  void Earn(double served, double usually) {
    by_served += served;
    by_time += usually;
    const double most = std::max(by_served, by_time);
    left = std::min(1.0, left + most - std::exchange(granted, most));
  }
};

struct Server {
  ServerInfo info;
  std::size_t pool = 0;
  bool listed = false;
  int out = 0;                  // own attempts in flight
  Pace pace;                    // of its answers
  std::vector<double> refuses;  // by class: share of its requests that were turned away lately
  std::vector<double> failing;  // by class: share of its requests that were lost to errors or silence lately
  bool busy = true;             // its cores are, by its last report; true until it reports
  int strikes = 0;              // bad outcomes in a row
  Micros heard_at = 0;          // its last answer, or when it got work after it had none
  Micros good_at = 0;           // when it last served a request within its aim
  Micros away_until = 0;        // left alone until then; after that one trial attempt at a time
  Credit credit;                // while it is young
};

// Servers that share a ring, and what this sidecar knows of them together. Own zone and elsewhere where
// crossing is priced, else all in one.
struct Pool {
  std::vector<Server*> ring;  // healthy ones by id
  std::size_t offset = 0;     // where the window begins
  std::size_t settled = 0;    // the ring's size when that was last reckoned
  int out = 0;                // own attempts in flight
  double out_peak = 0;        // their fading peak
  double out_each = 0;        // own attempts in flight at each server while nothing pressed, averaged
  bool limited = false;       // that is known and enough for a concurrency limit
  double outs = 0;            // answers that say so
  double admit = 1;           // share of the arriving work that is let in
  double usual = 0;           // elapsed time over aim, averaged
  Mean elapsed;               // usual time of an answer, in microseconds
  double unloaded = 1e9;      // the least that was usual
  double answers = 0;         // that say so
  double lates = 0;           // outcomes in a row that were late or refused
  Micros felt_at = 0;         // the last outcome that told of pressure or of none

  Server& InWindow(std::size_t i) const { return *ring[(offset + i) % ring.size()]; }
  // Both find its place by id, whatever the ring's size, and move the pointers behind it.
  void Put(Server& server) {
    const bool last = ring.empty() || ring.back()->info.id < server.info.id;
    ring.insert(last ? ring.end() : PlaceOf(server), &server);
  }
  void Drop(const Server& server) {
    const auto place = PlaceOf(server);
    if (place != ring.end() && *place == &server) ring.erase(place);
  }
  std::vector<Server*>::iterator PlaceOf(const Server& server) {
    return std::lower_bound(ring.begin(), ring.end(), &server,
                            [](const Server* a, const Server* b) { return a->info.id < b->info.id; });
  }
};

struct Attempt {
  Server* server = nullptr;  // to be followed only while the attempt is out: the list may drop the server
  int zone = -1;
  std::int64_t cell = -1;
  Micros sent = 0;
  bool out = true;
  bool felt = false;         // that it is late has been taken as pressure already
  bool may_have_run = true;  // until an outcome proves that it did not
};

struct Held {  // a request, from its arrival until its last attempt is resolved
  std::size_t request_class = 0;
  bool late = false;  // its client has waited past the aim already, over earlier tries
  std::size_t pool = 0;
  Micros arrived = 0;
  Micros deadline = 0;
  double size = 1;       // expected work as a multiple of what is usual for its class
  bool partial = false;  // its body is still coming in
  bool ended = false;
  bool cancelled = false;  // what was out at its end is called off
  int refusals = 0;
  std::uint64_t timer = 0;  // the one that is awaited; 0 = none
  std::string key;          // of the line in which it waits for its turn; empty = free
  Micros settled_at = 0;    // it keeps the turn until then, as a doubtful attempt may still be running
  std::vector<Attempt> attempts;

  bool AnyOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  // The first attempt that may have run: it decides what may still be done.
  const Attempt* MayHaveRun() const {
    for (const Attempt& a : attempts)
      if (a.may_have_run) return &a;
    return nullptr;
  }
};

// Which classes and tenants something was learnt under, on one line: figures of one deployment say nothing in
// another.
inline std::string MarkOf(const Settings& settings) {
  std::string mark;
  const auto add = [&](const std::string& name) { mark += std::to_string(name.size()) + ":" + name + " "; };
  for (const RequestClass& c : settings.classes)
    add(c.name), add(std::to_string(c.latency_target)), add(std::to_string(c.deadline));
  mark += "covered for ";  // and of what meaning the figures are: since they allow for the window's share
  for (const Tenant& tenant : settings.tenants) add(tenant.name);
  return mark;
}

struct ClassLoad {  // what this sidecar has seen of a class
  Mean work{1, 0};  // usual work of one request: the hint where there is one, else the time of its answers
  Mean answer;      // usual time of an answer
  Micros longest_budget = 0;  // of its tries: a shorter one is all that is left of the deadline
  double arriving = 0;        // work that arrived lately, fading
};

class Random {  // SplitMix64: small, and the same everywhere
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Unit() * static_cast<double>(n)); }
  Micros Upto(Micros most) { return static_cast<Micros>(Unit() * static_cast<double>(most)); }

 private:
  std::uint64_t state_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_SRC_RECORDS_HPP_
