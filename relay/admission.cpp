#include "relay/admission.hpp"

namespace merlinrun::relay {

void Admission::SubmitCall(const ReceiverPtr& receiver) {
  if (sending_ < limits_.max_concurrent) return Admit(receiver);
  if (waiting_calls_ >= limits_.max_waiting_calls) return receiver->OnRefused();
  ++waiting_calls_;
  calls_.push_back({receiver, Clock::now()});
}

void Admission::SubmitWatch(const ReceiverPtr& receiver) {
  if (sending_ < limits_.max_concurrent) return Admit(receiver);
  watches_.push_back({receiver, Clock::now()});
}

void Admission::Admit(const ReceiverPtr& receiver) {
  ++sending_;
  receiver->OnAdmitted();
}

// Returns the first receiver of the queue that is still waiting, or null. Drops those that are not.
Admission::ReceiverPtr Admission::FirstWaiting(Queue& queue) {
  while (!queue.empty()) {
    auto receiver = queue.front().receiver.lock();
    if (receiver != nullptr && receiver->AwaitsFullList()) return receiver;
    queue.pop_front();
  }
  return nullptr;
}

void Admission::Release() {
  --sending_;
  while (sending_ < limits_.max_concurrent) {
    const ReceiverPtr call = FirstWaiting(calls_);
    const ReceiverPtr watch = FirstWaiting(watches_);
    if (call == nullptr && watch == nullptr) return;
    const bool call_is_next =
        watch == nullptr || (call != nullptr && calls_.front().since <= watches_.front().since);
    (call_is_next ? calls_ : watches_).pop_front();
    if (call_is_next) --waiting_calls_;
    Admit(call_is_next ? call : watch);
  }
}

void Admission::RefuseExpiredCalls() {
  const auto now = Clock::now();
  while (const ReceiverPtr call = FirstWaiting(calls_)) {
    if (now - calls_.front().since < limits_.max_wait) return;
    calls_.pop_front();
    --waiting_calls_;
    call->OnRefused();
  }
}

}  // namespace merlinrun::relay
