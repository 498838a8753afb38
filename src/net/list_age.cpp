#include "list_age.hpp"

#include <algorithm>

namespace merlinrun::net {
namespace {

using std::chrono::microseconds;

// A retry waits for at most one part in this many of the time until missed changes take effect, or for up to
// kOverdueBase where that is longer; the rest of the time is for calls that fail.
constexpr Micros kRetryShare = 3;
// Once missed changes have taken effect, retries wait for random(0, base * 2^n), n being the calls that have
// failed since, up to the cap: an overloaded discovery must not be called ever faster.
constexpr Micros kOverdueBase = 500'000;
constexpr Micros kOverdueCap = 2'000'000;
constexpr int kMaxDoublings = 2;
// The retry delay while discovery is silent: what it learns when it is back takes effect at once, and it
// sends that to the calls that are waiting by then.
constexpr Micros kSilentRetry = 200'000;
// A call is given up when missed changes take effect, but not before it has waited this long: an overloaded
// discovery keeps its callers waiting for seconds, and a caller that gives up loses its place in the queue.
constexpr Micros kMinAnswerTimeout = 3'250'000;

// A call that ends within this time was not kept waiting: discovery is alive if it answered with an error
// status, and down if it reset the connection. An error status after a wait can mean either: an overloaded
// discovery sends it, and so does the machine of a discovery that is down.
constexpr auto kImmediate = std::chrono::milliseconds(250);
// When a connection can't be established, the kernel's last attempt was this long after the first, or later.
constexpr auto kLastConnectAttempt = std::chrono::seconds(1);

Micros Between(ListAge::Time from, ListAge::Time to) {
  return std::chrono::duration_cast<microseconds>(to - from).count();
}

}  // namespace

ListAge::ListAge(Timing timing, Time now, Micros age)
    : timing_(timing), takes_effect_at_(now), silent_outage_(timing.pushed) {
  if (!timing.pushed) takes_effect_at_ += microseconds(std::max<Micros>(timing.missed_change_delay - age, 0));
}

void ListAge::ConfirmCurrent(Time at) {
  takes_effect_at_ = at + microseconds(timing_.missed_change_delay);
  overdue_failures_ = 0;
  unwatched_since_.reset();
  partial_object_ = false;
  silent_outage_ = false;
}

void ListAge::OnCallEnd(CallResult result, Time began, Time now) {
  const bool immediate = now - began < kImmediate;
  silent_outage_ = IsSilentOutage(result);
  if (silent_outage_) takes_effect_at_ = unwatched_since_.emplace(now);  // it learned of no change until now
  if (timing_.pushed &&
      (result == CallResult::kEnded || result == CallResult::kInvalidData || result == CallResult::kReset))
    takes_effect_at_ = std::min(takes_effect_at_, now);
  switch (result) {
    case CallResult::kUnreachable:
      no_sign_of_life_ = true;
      OnUnreachable(began, std::min(now, began + kLastConnectAttempt));
      break;
    case CallResult::kReset:
      no_sign_of_life_ = true;
      if (immediate) OnUnreachable(began, now);
      break;
    case CallResult::kErrorStatus:
      if (immediate) no_sign_of_life_ = false;
      [[fallthrough]];
    case CallResult::kAnswerTimeout:
      if (no_sign_of_life_ && !silent_outage_) {
        OnUnreachable(began, began);
      } else if (!unwatched_since_) {
        unwatched_since_ = now;
      }
      break;
    case CallResult::kSilent:
    case CallResult::kEnded:
    case CallResult::kInvalidData:
      no_sign_of_life_ = false;
      if (!unwatched_since_) unwatched_since_ = now;
      break;
  }
  if (now >= takes_effect_at_) overdue_failures_ = std::min(overdue_failures_ + 1, kMaxDoublings);
}

// A discovery that pushes its lists answers without a queue: one that lets its watches and its callers wait
// is down. If its silence counted as missed changes, all service would stop.
bool ListAge::IsSilentOutage(CallResult result) const {
  return timing_.pushed && !partial_object_ &&
         (result == CallResult::kSilent || result == CallResult::kAnswerTimeout);
}

void ListAge::OnPartialObject(Time began) {
  takes_effect_at_ = std::min(takes_effect_at_, began);
  partial_object_ = true;
}

// A discovery that cannot be reached announces no changes. Its outage postpones their effect: otherwise
// dispatch would be paused for a list that cannot have changed, and discovery called ever faster meanwhile.
// Changes made before the outage, while discovery was reachable and not watched, take effect all the same. A
// discovery that ends a watch and is unreachable within kImmediate was already shutting down.
void ListAge::OnUnreachable(Time began, Time until) {
  if (partial_object_ || (unwatched_since_ && began - *unwatched_since_ > kImmediate)) return;
  unwatched_since_.reset();
  const Micros delay = timing_.pushed ? 0 : timing_.missed_change_delay;
  const Time takes_effect_at = until + microseconds(delay);
  if (takes_effect_at <= takes_effect_at_) return;
  takes_effect_at_ = takes_effect_at;
  overdue_failures_ = 0;
}

void ListAge::OnSwitch(Time now) {
  const Time takes_effect_at = now + microseconds(timing_.switch_delay);
  // A silent discovery has learned of no change, and what the new one has takes effect after the delay.
  takes_effect_at_ = silent_outage_ ? takes_effect_at : std::min(takes_effect_at_, takes_effect_at);
  silent_outage_ = false;
  overdue_failures_ = 0;
  no_sign_of_life_ = false;
}

// Counted from the last data received. When it was counted from the last call, each failed call postponed the
// next one, and draining servers got requests after their grace period.
Micros ListAge::RetryWithin(Time now) const {
  if (silent_outage_) return kSilentRetry;
  const Micros left = Between(now, takes_effect_at_);
  if (left > 0) return std::max<Micros>(left / kRetryShare, std::min(left, kOverdueBase));
  return std::min(kOverdueBase << overdue_failures_, kOverdueCap);
}

Micros ListAge::AnswerTimeout(Time now, Micros max) const {
  return std::min(std::max(Between(now, takes_effect_at_), kMinAnswerTimeout), max);
}

}  // namespace merlinrun::net
