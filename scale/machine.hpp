// What the machine is, and what of it a scale run may take.
#ifndef MERLINRUN_SCALE_MACHINE_HPP_
#define MERLINRUN_SCALE_MACHINE_HPP_

#include <cstddef>
#include <filesystem>
#include <string>

namespace merlinrun::scale {

struct MachineLimits {
  std::size_t descriptors = 0;  // of one process, by RLIMIT_NOFILE
  std::size_t ports = 0;        // of net.ipv4.ip_local_port_range, 28,000 at most
  double memory_mb = 0;         // half of the machine's, and no more than is available now
};

MachineLimits ReadMachineLimits();

// For results: nothing that names the machine.
struct Machine {
  unsigned cores = 0;
  std::string cpu;     // the model, as /proc/cpuinfo has it
  std::string kernel;  // its release
};

Machine ReadMachine();

// Of all cores together, since the machine's start, in its ticks.
struct CpuTimes {
  double busy = 0;
  double all = 0;
};

CpuTimes ReadCpuTimes();

// Which part of all cores was busy between two readings; 0 if no tick has passed.
double BusyShare(const CpuTimes& before, const CpuTimes& after);

// A fresh folder, removed with all that it holds when this goes.
class ScratchFolder {
 public:
  // Throws std::runtime_error if there is no place for it.
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
