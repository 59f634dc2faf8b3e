#pragma once

#include "Base/instant.h"

namespace persimmonshelf {

// Time since the machine started, including time in which it was suspended. Ages of leases and of
// evidence are measured with it; the steady clock stands still while a machine is suspended.
instant
boot_now();

}
