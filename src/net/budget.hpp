// A limit on the memory that buffered requests and answers take, over all connections together.
#ifndef MERLINRUN_NET_BUDGET_HPP_
#define MERLINRUN_NET_BUDGET_HPP_

#include <cstddef>
#include <functional>
#include <utility>

namespace merlinrun::net {

// The memory limit and how much of it is reserved. It must outlive its reservations.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;
  // Bytes that are reserved at present.
  std::size_t reserved() const { return reserved_; }
  // Changes the limit. Existing reservations stay valid even if they exceed a lower limit.
  void SetLimit(std::size_t limit) { limit_ = limit; }
  // Sets a function that is called when a reservation does not fit. It gives up the use of memory that
  // matters least, which releases its reservation at once, and returns false if there is none to give up.
  void SetReclaimer(std::function<bool()> reclaim) { reclaim_ = std::move(reclaim); }

 private:
  friend class MemoryReservation;
  bool HasRoomFor(std::size_t size) const { return reserved_ <= limit_ && size <= limit_ - reserved_; }

  std::size_t limit_;
  std::size_t reserved_ = 0;
  std::function<bool()> reclaim_;
};

// A reservation of part of the memory limit, released by its destructor. Movable, not copyable.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), size_(std::exchange(other.size_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    MemoryReservation moved(std::move(other));
    std::swap(budget_, moved.budget_);
    std::swap(size_, moved.size_);
    return *this;
  }
  ~MemoryReservation() {
    if (budget_ != nullptr) budget_->reserved_ -= size_;
  }

  // Releases what this reservation holds and reserves `size` bytes. Returns false, with nothing reserved, if
  // the limit leaves less than that.
  bool Reserve(MemoryBudget& budget, std::size_t size) {
    *this = MemoryReservation();
    while (!budget.HasRoomFor(size))
      if (!budget.reclaim_ || !budget.reclaim_()) return false;
    budget_ = &budget;
    budget_->reserved_ += size_ = size;
    return true;
  }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t size_ = 0;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_BUDGET_HPP_
