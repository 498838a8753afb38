#include "scale/machine.hpp"

#include <stdlib.h>
#include <sys/resource.h>
#include <sys/utsname.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <thread>

namespace merlinrun::scale {
namespace {

constexpr std::size_t kMaxPorts = 28000;

// Returns an entry of /proc/meminfo in MB of 1,048,576 bytes; 0 if it is missing.
double MemoryMb(const std::string& name) {
  std::ifstream in("/proc/meminfo");
  std::string key;
  std::uint64_t kib = 0;
  std::string unit;
  while (in >> key >> kib) {
    if (key == name + ":") return static_cast<double>(kib) / 1024;
    std::getline(in, unit);
  }
  return 0;
}

std::size_t EphemeralPorts() {
  std::ifstream in("/proc/sys/net/ipv4/ip_local_port_range");
  std::size_t first = 0;
  std::size_t last = 0;
  if (!(in >> first >> last) || last < first) return kMaxPorts;
  return std::min(kMaxPorts, last - first + 1);
}

}  // namespace

MachineLimits ReadMachineLimits() {
  MachineLimits limits;
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0)
    throw std::system_error(errno, std::generic_category(), "getrlimit");
  limits.descriptors = files.rlim_cur;
  limits.ports = EphemeralPorts();
  limits.memory_mb = std::min(MemoryMb("MemTotal") / 2, MemoryMb("MemAvailable"));
  return limits;
}

Machine ReadMachine() {
  Machine machine;
  machine.cores = std::thread::hardware_concurrency();
  std::ifstream in("/proc/cpuinfo");
  for (std::string line; machine.cpu.empty() && std::getline(in, line);) {
    const std::size_t colon = line.find(": ");
    if (line.starts_with("model name") && colon != std::string::npos) machine.cpu = line.substr(colon + 2);
  }
  utsname names{};
  if (uname(&names) == 0) machine.kernel = names.release;
  return machine;
}

CpuTimes ReadCpuTimes() {
  std::ifstream in("/proc/stat");
  std::string name;
  // Time that the hypervisor gave to other machines (steal) counts as busy: it is not available here either.
  double user = 0, nice = 0, system = 0, idle = 0, iowait = 0, irq = 0, softirq = 0, steal = 0;
  in >> name >> user >> nice >> system >> idle >> iowait >> irq >> softirq >> steal;
  const double busy = user + nice + system + irq + softirq + steal;
  return {busy, busy + idle + iowait};
}

double BusyShare(const CpuTimes& before, const CpuTimes& after) {
  return after.total > before.total ? (after.busy - before.busy) / (after.total - before.total) : 0;
}

ScratchFolder::ScratchFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "rookhub_scale.XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::system_error(errno, std::generic_category(), "mkdtemp");
  path_ = name;
}

ScratchFolder::~ScratchFolder() {
  // Removal may fail if a child is still writing a file; nothing can be done about it here.
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace merlinrun::scale
