// Tests start this program again as a child process, which RunAsChild() handles.
#include <gtest/gtest.h>

#include "scale/run_as_child.hpp"

int main(int argc, char** argv) {
  int status = 0;
  if (merlinrun::scale::RunAsChild(argc, argv, status)) return status;
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
