#include "list_age.hpp"

#include <algorithm>

namespace merlinrun::net {
namespace {

using std::chrono::microseconds;

// The wait before a call is this part at most of the time that is left: failed calls may take the rest.
constexpr Micros kWaitShare = 3;
// Once changes bind unheard, the waits are random(0, base * 2^n), n being the calls that have failed since,
// and no longer than the cap: an overloaded discovery must not be asked ever faster.
constexpr Micros kOverdueBase = 500'000;
constexpr Micros kOverdueCap = 2'000'000;
constexpr int kMostDoublings = 2;
// A discovery that is silent is asked again so soon: what it learns at its return binds at once, and is told
// to whoever waits then.
constexpr Micros kAskSilent = 200'000;
// A call is given up when changes begin to bind, but none before it has had so long: an overloaded discovery
// keeps its callers waiting for seconds, and one that gives up loses its place.
constexpr Micros kLeastAnswer = 3'250'000;

// A call that ends within this time was not kept waiting: whoever refused it lives, whoever reset it does
// not. A refusal after a wait may be of either kind: an overloaded discovery gives it, and a dead one's
// machine.
constexpr auto kAtOnce = std::chrono::milliseconds(250);
// While a connection does not come up, the kernel last tried it this long after the first time, or later.
constexpr auto kLastDial = std::chrono::seconds(1);

Micros Between(ListAge::Time from, ListAge::Time to) {
  return std::chrono::duration_cast<microseconds>(to - from).count();
}

}  // namespace

ListAge::ListAge(Timing timing, Time now, Micros older) : timing_(timing), binds_(now) {
  if (!timing.told_at_end) binds_ += microseconds(std::max<Micros>(timing.told_unheard - older, 0));
}

void ListAge::Confirm(Time at) {
  binds_ = at + microseconds(timing_.told_unheard);
  failed_overdue_ = 0;
  unwatched_since_.reset();
  cut_off_ = false;
  unheard_ = MissedChanges::kPossible;
}

void ListAge::CallEnded(CallEnd how, Time began, Time now) {
  const bool at_once = now - began < kAtOnce;
  silent_ = IsSilentOutage(how);
  if (silent_) binds_ = unwatched_since_.emplace(now);  // until now nothing was learnt
  if (timing_.told_at_end && (how == CallEnd::kEnded || how == CallEnd::kBadInput || how == CallEnd::kReset))
    binds_ = std::min(binds_, now);
  switch (how) {
    case CallEnd::kUnreachable:
      lost_ = true;
      OutOfReach(began, std::min(now, began + kLastDial));
      break;
    case CallEnd::kReset:
      lost_ = true;
      if (at_once) OutOfReach(began, now);
      break;
    case CallEnd::kRefused:
      if (at_once) lost_ = false;
      [[fallthrough]];
    case CallEnd::kUnanswered:
      if (lost_ && !silent_) {
        OutOfReach(began, began);
      } else if (!unwatched_since_) {
        unwatched_since_ = now;
      }
      break;
    case CallEnd::kSilent:
    case CallEnd::kEnded:
    case CallEnd::kBadInput:
      lost_ = false;
      if (!unwatched_since_) unwatched_since_ = now;
      break;
  }
  if (now >= binds_) failed_overdue_ = std::min(failed_overdue_ + 1, kMostDoublings);
}

// Where lists are pushed nobody waits for an answer: a discovery that keeps its watches and its callers
// waiting is down. Guards against a silence that is taken for missed changes and stops all service.
bool ListAge::IsSilentOutage(CallEnd how) const {
  return timing_.told_at_end && !cut_off_ && (how == CallEnd::kSilent || how == CallEnd::kUnanswered);
}

void ListAge::CutOff(Time begun, MissedChanges unheard) {
  binds_ = std::min(binds_, begun);
  cut_off_ = true;
  if (unheard == MissedChanges::kAnnounced) unheard_ = unheard;
}

// A discovery that cannot be reached tells nothing. Guards against holding back all requests for a list that
// cannot have changed, and against asking ever faster meanwhile.
// What changed before, while it was in reach and not watched, binds all the same. One that ends a watch and
// is out of reach at once was going down already.
void ListAge::OutOfReach(Time began, Time until) {
  if (cut_off_ || (unwatched_since_ && began - *unwatched_since_ > kAtOnce)) return;
  unwatched_since_.reset();
  const Micros told_after = timing_.told_at_end ? 0 : timing_.told_unheard;
  const Time binds = until + microseconds(told_after);
  if (binds <= binds_) return;
  binds_ = binds;
  failed_overdue_ = 0;
}

void ListAge::Switched(Time now) {
  binds_ = std::min(binds_, now + microseconds(timing_.told_anew));
  failed_overdue_ = 0;
  lost_ = false;
}

// Counted from what was last heard. Counted from the last call, as it once was, each failed call put off the
// next one, and drained servers got requests past their grace.
Micros ListAge::AskWithin(Time now) const {
  if (silent_) return kAskSilent;
  const Micros left = Between(now, binds_);
  if (left > 0) return std::max<Micros>(left / kWaitShare, std::min(left, kOverdueBase));
  return std::min(kOverdueBase << failed_overdue_, kOverdueCap);
}

Micros ListAge::AnswerWithin(Time now, Micros most) const {
  return std::min(std::max(Between(now, binds_), kLeastAnswer), most);
}

}  // namespace merlinrun::net
