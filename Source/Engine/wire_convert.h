#pragma once

#include "Control/heartbeat.h"
#include "Home/home_types.h"
#include "Wire/peer.pb.h"

namespace persimmonshelf {

// Conversions between the messages of Source/Wire and the types of the logic modules. Times on the
// wire are in microseconds.

std::uint64_t
to_wire(instant time);
instant
from_wire(std::uint64_t time_us);

home_request
to_home_request(const wire::forward_request& message);
wire::forward_answer
to_wire(const home_answer& answer);

wire::heartbeat
to_wire(const heartbeat& beat);
heartbeat
from_wire(const wire::heartbeat& message);

}
