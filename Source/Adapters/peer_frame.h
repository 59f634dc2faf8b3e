#pragma once

#include "Wire/peer.pb.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Bytes of one message between instances: the envelope, or a zero byte and the envelope in zlib's
// format. No envelope starts with a zero byte. Control messages repeat names and addresses and
// shrink to less than a half, documents to a tenth; those of statements are sent as they are,
// because their time counts.
std::string
encode_frame(const wire::envelope& message);

// None if the bytes are not one whole envelope with a body or the envelope is over the limit.
std::optional<wire::envelope>
decode_frame(std::string_view bytes, std::size_t limit_bytes);

}
