// How long ago the list of servers was known to be current, and from when on a change that has not been heard
// counts as told. Decides how soon discovery has to be asked again.
#ifndef MERLINRUN_NET_LIST_AGE_HPP_
#define MERLINRUN_NET_LIST_AGE_HPP_

#include <chrono>
#include <optional>

#include "merlinrun/balancer.hpp"

namespace merlinrun::net {

class ListAge {
 public:
  using Clock = std::chrono::steady_clock;
  using Time = Clock::time_point;

  struct Timing {
    Micros told_unheard = 6'000'000;  // a change binds so long after it was made, heard or not
    Micros told_anew = 4'000'000;     // and so long after a switch to another discovery
    bool told_at_end = false;         // lists are pushed: a change binds at once when no watch is open
  };

  // How a call to discovery ended, as far as it tells whether discovery lives.
  enum class CallEnd {
    kUnreachable,  // no connection came up
    kUnanswered,   // no answer in time
    kReset,        // the connection broke, before an answer or in the middle of it
    kRefused,      // an answer other than 200
    kSilent,       // the answer began and fell silent
    kEnded,        // the answer ended in order
    kBadInput,     // what came makes no sense
  };

  // The list as known at `now` may be older by that much: it was current when a process before this one
  // ended.
  ListAge(Timing timing, Time now, Micros older);

  // Discovery has told everything that it had by that time.
  void Confirm(Time at);
  // Something of an answer has come: discovery lives.
  void Heard() { lost_ = silent_ = false; }
  // A call that was made at `began` has ended now.
  void CallEnded(CallEnd how, Time began, Time now);
  // What was being told from that time on did not come whole. Counts as told: discovery has written it.
  // kPossible: what came makes no sense, so that it need not have been a change.
  void CutOff(Time begun, MissedChanges unheard = MissedChanges::kAnnounced);
  // What is known of changes that were not heard.
  MissedChanges unheard() const { return unheard_; }
  // Another discovery is followed. What binds earlier keeps its time.
  void Switched(Time now);

  // From when on changes that were not heard bind, if nothing more is heard. None while a discovery that
  // pushes its lists says nothing to anybody: it is down then and learns nothing.
  std::optional<Time> binds() const { return silent_ ? std::nullopt : std::optional(binds_); }
  // Within which discovery has to be asked again.
  Micros AskWithin(Time now) const;
  // Within which a call made at `now` has to be answered, or it is given up; `most` if nothing presses.
  Micros AnswerWithin(Time now, Micros most) const;

 private:
  bool IsSilentOutage(CallEnd how) const;
  void OutOfReach(Time began, Time until);

  Timing timing_;
  Time binds_;
  // Since when discovery has been in reach, as far as is known, with no watch that would have told its
  // changes.
  std::optional<Time> unwatched_since_;
  bool cut_off_ = false;  // something was being told: no outage puts it off
  MissedChanges unheard_ = MissedChanges::kPossible;
  bool silent_ = false;     // it pushes its lists, and the last call got no answer or fell silent
  bool lost_ = true;        // discovery has given no sign of life, at all or since it broke a connection
  int failed_overdue_ = 0;  // calls that failed after binds_
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_LIST_AGE_HPP_
