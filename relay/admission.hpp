// Load shedding for full lists: limits how many are sent at the same time. Further calls wait in a bounded
// queue and are refused if it is full or the wait takes too long.
#ifndef MERLINRUN_RELAY_ADMISSION_HPP_
#define MERLINRUN_RELAY_ADMISSION_HPP_

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>

namespace merlinrun::relay {

// A connection that has to be sent a full list.
class FullListReceiver {
 public:
  virtual ~FullListReceiver() = default;
  // Whether it is still waiting. False once the connection has ended.
  virtual bool AwaitsFullList() const = 0;
  // Must call Admission::Release once the list has been sent or the connection has ended.
  virtual void OnAdmitted() = 0;
  // The call has to be answered with an error. Never called for an open watch.
  virtual void OnRefused() = 0;
};

// Grants the slots in which full lists are sent. A receiver occupies one from OnAdmitted to Release.
class Admission {
 public:
  using Clock = std::chrono::steady_clock;
  using ReceiverPtr = std::shared_ptr<FullListReceiver>;

  struct Limits {
    std::size_t max_concurrent = 64;
    std::size_t max_waiting_calls = 1024;  // open watches that wait are not limited: there are few of them
    std::chrono::milliseconds max_wait{2000};
  };

  explicit Admission(Limits limits) : limits_(limits) {}

  // Admits, queues or refuses a call that has not been answered yet. A queued call is admitted or refused
  // later.
  void SubmitCall(const ReceiverPtr& receiver);
  // Admits or queues an open watch. It is never refused.
  void SubmitWatch(const ReceiverPtr& receiver);

  // Frees the slot of an admitted receiver and admits the next one.
  void Release();
  // To be called when the connection of a queued call has ended: frees its place in the queue.
  void CancelWaitingCall() { --waiting_calls_; }
  // Refuses the calls that have waited too long. To be called several times a second.
  void RefuseExpiredCalls();

  std::size_t sending() const { return sending_; }
  std::size_t waiting_calls() const { return waiting_calls_; }

 private:
  struct Waiting {
    std::weak_ptr<FullListReceiver> receiver;
    Clock::time_point since;
  };
  using Queue = std::deque<Waiting>;

  void Admit(const ReceiverPtr& receiver);
  static ReceiverPtr FirstWaiting(Queue& queue);

  const Limits limits_;
  std::size_t sending_ = 0;
  std::size_t waiting_calls_ = 0;
  Queue calls_;
  Queue watches_;
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_ADMISSION_HPP_
