// What this program does when it has been started by itself.
#ifndef MERLINRUN_SCALE_RUN_AS_CHILD_HPP_
#define MERLINRUN_SCALE_RUN_AS_CHILD_HPP_

namespace merlinrun::scale {

// To be called first of all by main: true if this process was started as a child, and is done; main returns
// `status` then. May replace the process by another program and not return at all.
bool RunAsChild(int argc, char** argv, int& status);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RUN_AS_CHILD_HPP_
