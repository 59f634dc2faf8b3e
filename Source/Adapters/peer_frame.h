#pragma once

#include "Wire/peer.pb.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Encodes a message between instances as the serialized envelope, or as a zero byte followed by the
// envelope in zlib format. The zero byte is unambiguous because no serialized envelope starts with
// it. Only control messages are compressed: those with repeated names and addresses shrink to less
// than half of their size, documents to a tenth. Messages that carry statements are not compressed,
// to keep their latency low.
std::string
encode_frame(const wire::envelope& message);

// Decodes a frame. Returns nullopt if the bytes are not exactly one complete envelope with a body,
// or if the frame or the decompressed envelope exceeds `limit_bytes`.
std::optional<wire::envelope>
decode_frame(std::string_view bytes, std::size_t limit_bytes);

}
