#include "recent_requests.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <utility>

namespace merlinrun::net {
namespace {

constexpr std::size_t kBuckets = 2048;
constexpr std::size_t kWays = 8;  // entries per bucket
constexpr std::size_t kEntries = kBuckets * kWays;

std::int64_t ToMicros(RecentRequests::Clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

}  // namespace

static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "the table is shared between processes");

void RecentRequests::Unmap::operator()(Entry* entries) const {
  if (mapped) {
    ::munmap(entries, kEntries * sizeof(Entry));
  } else {
    delete[] entries;
  }
}

RecentRequests::RecentRequests() : entries_(new Entry[kEntries](), Unmap{false}) {}

// The space is allocated before the file is mapped: writing to a mapped page that the file system has no room
// for would end the process.
RecentRequests::Table RecentRequests::MapFile(const std::string& file) {
  constexpr std::size_t kSize = kEntries * sizeof(Entry);
  const int fd = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
  if (fd < 0) return nullptr;
  void* memory = MAP_FAILED;
  if (::posix_fallocate(fd, 0, kSize) == 0)
    memory = ::mmap(nullptr, kSize, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  return memory == MAP_FAILED ? nullptr : Table(static_cast<Entry*>(memory), Unmap{true});
}

bool RecentRequests::Share(const std::string& file) {
  Table mapped = MapFile(file);
  if (mapped == nullptr) return false;
  const Table before = std::exchange(entries_, std::move(mapped));
  for (std::size_t i = 0; i < kEntries; ++i)
    if (const std::uint64_t hash = before[i].hash; hash != 0) Insert(hash, before[i].sent_at_us);
  shared_ = true;
  return true;
}

void RecentRequests::Add(std::string_view id, Clock::time_point now) { Insert(Hash(id), ToMicros(now)); }

void RecentRequests::Remove(std::string_view id) {
  if (Entry* const entry = Find(Hash(id))) entry->hash = 0;
}

bool RecentRequests::Contains(std::string_view id, Clock::time_point now) const {
  const Entry* const entry = Find(Hash(id));
  if (entry == nullptr) return false;
  const auto age = std::chrono::microseconds(ToMicros(now) - entry->sent_at_us);
  // A time in the future was written before the machine was restarted.
  return age >= -kRetention && age <= kRetention;
}

// FNV-1a, with the finalizer of MurmurHash3 to spread similar ids over the buckets. Both processes of an
// upgrade need the same function, whatever they were built with.
std::uint64_t RecentRequests::Hash(std::string_view id) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdU;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53U;
  hash ^= hash >> 33;
  return hash == 0 ? 1 : hash;
}

RecentRequests::Entry* RecentRequests::Bucket(std::uint64_t hash) const {
  return &entries_[(hash >> 32) % kBuckets * kWays];
}

RecentRequests::Entry* RecentRequests::Find(std::uint64_t hash) const {
  Entry* const bucket = Bucket(hash);
  for (Entry* entry = bucket; entry < bucket + kWays; ++entry)
    if (entry->hash == hash) return entry;
  return nullptr;
}

void RecentRequests::Insert(std::uint64_t hash, std::int64_t sent_at_us) {
  Entry* replaced = Find(hash);
  if (replaced == nullptr) {
    Entry* const bucket = replaced = Bucket(hash);
    for (Entry* entry = bucket; entry < bucket + kWays && replaced->hash != 0; ++entry)
      if (entry->hash == 0 || entry->sent_at_us < replaced->sent_at_us) replaced = entry;
  }
  replaced->sent_at_us = sent_at_us;
  replaced->hash = hash;
}

}  // namespace merlinrun::net
