// Load shedding for whole lists: so many are sent at once, others wait in a bounded queue, and what would
// wait too long is refused.
#ifndef MERLINRUN_RELAY_ADMISSION_HPP_
#define MERLINRUN_RELAY_ADMISSION_HPP_

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>

namespace merlinrun::relay {

// Whoever has to be sent a whole list. Once it is over it no longer wants it.
class ListTaker {
 public:
  virtual ~ListTaker() = default;
  virtual bool WantsList() const = 0;
  virtual void OnAdmitted() = 0;  // to call Admission::Leave once the list is sent, or the connection over
  virtual void OnRefused() = 0;
};

class Admission {
 public:
  using Clock = std::chrono::steady_clock;
  using Taker = std::shared_ptr<ListTaker>;

  struct Limits {
    std::size_t sent_at_once = 64;
    std::size_t waiting = 1024;  // calls; watches that are open already are few enough by themselves
    std::chrono::milliseconds longest_wait{2000};
  };

  explicit Admission(Limits limits) : limits_(limits) {}

  // A call that has not been answered: it is admitted, waits, or is refused, at once or after its wait.
  void EnterCall(const Taker& taker);
  // A watch that is open: it waits as long as it takes.
  void EnterWatch(const Taker& taker);

  void Leave();
  // Calls that nobody waits for any more: they make room in the queue.
  void GiveUp() { --waiting_calls_; }
  // Refuses who has waited too long. To be called some times a second.
  void Expire();

  std::size_t sending() const { return sending_; }
  std::size_t waiting() const { return waiting_calls_; }

 private:
  struct Waiting {
    std::weak_ptr<ListTaker> taker;
    Clock::time_point since;
  };
  using Queue = std::deque<Waiting>;

  void Admit(const Taker& taker);
  static Taker First(Queue& queue);

  const Limits limits_;
  std::size_t sending_ = 0;
  std::size_t waiting_calls_ = 0;
  Queue calls_;
  Queue watches_;
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_ADMISSION_HPP_
