#include "relay/admission.hpp"

namespace merlinrun::relay {

void Admission::EnterCall(const Taker& taker) {
  if (sending_ < limits_.sent_at_once) return Admit(taker);
  if (waiting_calls_ >= limits_.waiting) return taker->OnRefused();
  ++waiting_calls_;
  calls_.push_back({taker, Clock::now()});
}

void Admission::EnterWatch(const Taker& taker) {
  if (sending_ < limits_.sent_at_once) return Admit(taker);
  watches_.push_back({taker, Clock::now()});
}

void Admission::Admit(const Taker& taker) {
  ++sending_;
  taker->OnAdmitted();
}

// The first that still waits, or null.
Admission::Taker Admission::First(Queue& queue) {
  while (!queue.empty()) {
    auto taker = queue.front().taker.lock();
    if (taker != nullptr && taker->WantsList()) return taker;
    queue.pop_front();
  }
  return nullptr;
}

void Admission::Leave() {
  --sending_;
  while (sending_ < limits_.sent_at_once) {
    const Taker call = First(calls_);
    const Taker watch = First(watches_);
    if (call == nullptr && watch == nullptr) return;
    const bool call_is_next =
        watch == nullptr || (call != nullptr && calls_.front().since <= watches_.front().since);
    (call_is_next ? calls_ : watches_).pop_front();
    if (call_is_next) --waiting_calls_;
    Admit(call_is_next ? call : watch);
  }
}

void Admission::Expire() {
  const auto now = Clock::now();
  while (const Taker call = First(calls_)) {
    if (now - calls_.front().since < limits_.longest_wait) return;
    calls_.pop_front();
    --waiting_calls_;
    call->OnRefused();
  }
}

}  // namespace merlinrun::relay
