#include "relay/state_file.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace merlinrun::relay {
namespace {

constexpr auto kPause = std::chrono::seconds(1);

}  // namespace

StateFile::StateFile(net::asio::io_context& io, std::string path, const ListStore& store)
    : path_(std::move(path)), store_(store), timer_(io), life_(std::make_shared<StateFile*>(this)) {}

void StateFile::Read(ListStore& store) {
  std::error_code ignored;
  if (path_.empty() || !std::filesystem::exists(path_, ignored)) return;
  std::ifstream file(path_, std::ios::binary);
  std::ostringstream text;
  std::string error = "cannot be read";
  if ((text << file.rdbuf()) && store.Restore(text.str(), error))
    spdlog::info("state: generation {} with {} entries", store.generation(), store.entries());
  else
    spdlog::warn("state: {}: {:.200}: beginning empty", path_, error);
}

void StateFile::OnChange() {
  if (path_.empty() || std::exchange(dirty_, true)) return;
  timer_.expires_at(std::max(next_, Clock::now()));
  timer_.async_wait([life = std::weak_ptr<StateFile*>(life_)](net::ErrorCode stopped) {
    const auto self = life.lock();
    if (self != nullptr && !stopped) (*self)->Flush();
  });
}

void StateFile::Flush() {
  if (!std::exchange(dirty_, false)) return;
  next_ = Clock::now() + kPause;
  Write();
}

// Renamed into its place, so that whoever reads it finds a whole one. It is not synced to the disk: after a
// loss of power a torn one is told and left unused.
void StateFile::Write() {
  const std::string fresh = path_ + ".new";
  std::ofstream file(fresh, std::ios::binary | std::ios::trunc);
  file << store_.Saved();
  file.close();
  std::error_code error;
  if (file) std::filesystem::rename(fresh, path_, error);
  if (file && !error) return;
  spdlog::warn("state: {} cannot be written", path_);
  std::filesystem::remove(fresh, error);
}

}  // namespace merlinrun::relay
