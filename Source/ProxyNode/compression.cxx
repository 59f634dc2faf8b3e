#include "ProxyNode/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace persimmonshelf {

namespace {

const Bytef*
as_input(std::string_view bytes)
{
  return reinterpret_cast<const Bytef*>(bytes.data());
}

}

std::string
compress_bytes(std::string_view bytes)
{
  auto size = compressBound(static_cast<uLong>(bytes.size()));
  std::string compressed(size, '\0');
  // Fails only for a target that is too small or without memory; an empty result is not sent.
  const auto status = compress2(reinterpret_cast<Bytef*>(compressed.data()),
                                &size,
                                as_input(bytes),
                                static_cast<uLong>(bytes.size()),
                                Z_BEST_SPEED);
  compressed.resize(status == Z_OK ? size : 0);
  return compressed;
}

std::optional<std::string>
decompress_bytes(std::string_view bytes, std::size_t max_bytes)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  // zlib does not change the input, but older versions declare it without const.
  stream.next_in = const_cast<Bytef*>(as_input(bytes));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string result;
  std::array<char, 8192> part{};
  int status = Z_OK;
  while (status == Z_OK && result.size() <= max_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(part.data());
    stream.avail_out = static_cast<uInt>(part.size());
    status = inflate(&stream, Z_NO_FLUSH);
    result.append(part.data(), part.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END || result.size() > max_bytes) {
    return std::nullopt;
  }
  return result;
}

}
