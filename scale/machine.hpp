// Describes the machine and the share of its resources that a scale run may use.
#ifndef MERLINRUN_SCALE_MACHINE_HPP_
#define MERLINRUN_SCALE_MACHINE_HPP_

#include <cstddef>
#include <filesystem>
#include <string>

namespace merlinrun::scale {

struct MachineLimits {
  std::size_t descriptors = 0;  // per process, from RLIMIT_NOFILE
  std::size_t ports = 0;        // size of net.ipv4.ip_local_port_range, at most 28,000
  double memory_mb = 0;         // half of the machine's memory, but at most what is available now
};

MachineLimits ReadMachineLimits();

// Description of the machine for results. It does not identify the machine, so there is no host name.
struct Machine {
  unsigned cores = 0;
  std::string cpu;     // model name from /proc/cpuinfo
  std::string kernel;  // kernel release
};

Machine ReadMachine();

// CPU time of all cores together since boot, in clock ticks.
struct CpuTimes {
  double busy = 0;
  double total = 0;
};

CpuTimes ReadCpuTimes();

// Returns the share of all cores' time that was busy between two measurements; 0 if no tick has passed.
double BusyShare(const CpuTimes& before, const CpuTimes& after);

// Creates a temporary folder, and removes it with its content when the object is destroyed.
class ScratchFolder {
 public:
  // Throws std::runtime_error if the folder cannot be created.
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_MACHINE_HPP_
