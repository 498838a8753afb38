// The entry point of this program when it is started as a child process of itself.
#ifndef MERLINRUN_SCALE_RUN_AS_CHILD_HPP_
#define MERLINRUN_SCALE_RUN_AS_CHILD_HPP_

namespace merlinrun::scale {

// main() must call this first. Returns true if this process was started as a child and has finished its work;
// main() then returns `status`. Does not return if the child is another program, which replaces this process.
bool RunAsChild(int argc, char** argv, int& status);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_RUN_AS_CHILD_HPP_
