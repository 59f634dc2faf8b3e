#pragma once

#include "Base/instant.h"

namespace persimmonshelf {

// Time since the machine started, including time in which it was suspended. Measures the ages of
// leases and evidence, because the steady clock stops while a machine is suspended.
instant
boot_now();

}
