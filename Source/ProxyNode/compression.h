#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Compresses bytes in the zlib format, at the fastest level.
std::string
compress_bytes(std::string_view bytes);

// Reverses compress_bytes. Empty if the input is damaged or the result would exceed `max_bytes`.
std::optional<std::string>
decompress_bytes(std::string_view bytes, std::size_t max_bytes);

}
