// The tests start this program again as their children.
#include <gtest/gtest.h>

#include "scale/run_as_child.hpp"

int main(int argc, char** argv) {
  int status = 0;
  if (merlinrun::scale::RunAsChild(argc, argv, status)) return status;
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
