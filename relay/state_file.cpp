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

constexpr auto kMinWriteInterval = std::chrono::seconds(1);

}  // namespace

StateFile::StateFile(net::asio::io_context& io, std::string path, const ListStore& store)
    : path_(std::move(path)), store_(store), timer_(io), lifetime_(std::make_shared<StateFile*>(this)) {}

void StateFile::Read(ListStore& store) {
  std::error_code ignored;
  if (path_.empty() || !std::filesystem::exists(path_, ignored)) return;
  std::ifstream file(path_, std::ios::binary);
  std::ostringstream text;
  std::string error = "cannot be read";
  if ((text << file.rdbuf()) && store.Restore(text.str(), error))
    spdlog::info("state: read generation {} with {} entries", store.generation(), store.entries());
  else
    spdlog::warn("state: {}: {:.200}: starting without a list", path_, error);
}

void StateFile::OnChange() {
  if (path_.empty() || std::exchange(dirty_, true)) return;
  timer_.expires_at(std::max(next_write_at_, Clock::now()));
  timer_.async_wait([lifetime = std::weak_ptr<StateFile*>(lifetime_)](net::ErrorCode stopped) {
    const auto self = lifetime.lock();
    if (self != nullptr && !stopped) (*self)->Flush();
  });
}

void StateFile::Flush() {
  if (!std::exchange(dirty_, false)) return;
  next_write_at_ = Clock::now() + kMinWriteInterval;
  Write();
}

// Writes a temporary file and renames it, so that readers always find a complete file. The file is not synced
// to the disk: after a power failure it may be incomplete, and Read then rejects it with a warning.
void StateFile::Write() {
  const std::string temporary_path = path_ + ".new";
  std::ofstream file(temporary_path, std::ios::binary | std::ios::trunc);
  file << store_.Serialize();
  file.close();
  std::error_code error;
  if (file) std::filesystem::rename(temporary_path, path_, error);
  if (file && !error) return;
  spdlog::warn("state: {} cannot be written", path_);
  std::filesystem::remove(temporary_path, error);
}

}  // namespace merlinrun::relay
