#include "ProxyNode/boot_clock.h"

#include <ctime>

namespace persimmonshelf {

instant
boot_now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return instant(std::chrono::seconds(now.tv_sec) +
                 std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

}
