// A limit on the memory that buffered requests and answers take, over all connections together.
#ifndef MERLINRUN_NET_BUDGET_HPP_
#define MERLINRUN_NET_BUDGET_HPP_

#include <cstddef>
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

 private:
  friend class MemoryReservation;
  std::size_t limit_;
  std::size_t reserved_ = 0;
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
    if (budget.reserved_ > budget.limit_ || size > budget.limit_ - budget.reserved_) return false;
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
