// Tracks how out of date the list of servers may be: from when on a change that was missed takes effect, and
// how soon discovery has to be called again.
#ifndef MERLINRUN_NET_LIST_AGE_HPP_
#define MERLINRUN_NET_LIST_AGE_HPP_

#include <chrono>
#include <optional>

#include "merlinrun/balancer.hpp"

namespace merlinrun::net {

// Derives the age of the list from the calls to discovery and their results. A change of the list takes
// effect a fixed time after it was made: from then on the sidecar has to obey it, whether it received it or
// not.
class ListAge {
 public:
  using Clock = std::chrono::steady_clock;
  using Time = Clock::time_point;

  struct Timing {
    Micros missed_change_delay = 6'000'000;  // from a change to its effect, received or not
    // From a switch to another discovery to the effect of what that one lists.
    Micros switch_delay = 4'000'000;
    bool pushed = false;  // discovery pushes its lists: a change takes effect at once while no watch is open
  };

  // How a call to discovery ended, as far as it tells whether discovery is alive.
  enum class CallResult {
    kUnreachable,    // the connection was not established
    kAnswerTimeout,  // no answer in time
    kReset,          // the connection broke, before the answer or in the middle of it
    kErrorStatus,    // an answer with a status other than 200
    kSilent,         // the answer began, and then nothing came for too long
    kEnded,          // the answer ended normally
    kInvalidData,    // the data could not be understood
  };

  // The list known at `now` may already be `age` old: it was current when the process before this one ended.
  ListAge(Timing timing, Time now, Micros age);

  // All changes that discovery had at time `at` have been received.
  void ConfirmCurrent(Time at);
  // Part of an answer has been received: discovery is alive.
  void OnData() { no_sign_of_life_ = silent_outage_ = false; }
  // A call that was made at `began` has ended now.
  void OnCallEnd(CallResult result, Time began, Time now);
  // An object whose first byte came at `began` was not received completely. It takes effect from then on, as
  // discovery has written it.
  void OnPartialObject(Time began);
  // Another discovery is followed from now on. Changes that take effect earlier keep their time.
  void OnSwitch(Time now);

  // From when on missed changes take effect, if nothing more is received. None while a discovery that pushes
  // its lists sends nothing at all: it is down then and learns of no change.
  std::optional<Time> missed_changes_take_effect_at() const {
    return silent_outage_ ? std::nullopt : std::optional(takes_effect_at_);
  }
  // The time within which discovery has to be called again.
  Micros RetryWithin(Time now) const;
  // How long a call made at `now` waits for its answer before it is given up; `max` if no missed change takes
  // effect before.
  Micros AnswerTimeout(Time now, Micros max) const;

 private:
  bool IsSilentOutage(CallResult result) const;
  void OnUnreachable(Time began, Time until);

  Timing timing_;
  Time takes_effect_at_;
  // Since when discovery has been reachable, as far as is known, without an open watch that would have
  // received its changes.
  std::optional<Time> unwatched_since_;
  // An object was received only in part: an outage does not postpone its effect.
  bool partial_object_ = false;
  bool silent_outage_;           // lists are pushed, and no call was answered, or the last one fell silent
  bool no_sign_of_life_ = true;  // from discovery, since the start or since a connection to it broke
  int overdue_failures_ = 0;     // calls that failed after takes_effect_at_
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_LIST_AGE_HPP_
