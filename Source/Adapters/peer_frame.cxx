#include "Adapters/peer_frame.h"

#include <zlib.h>

#include <algorithm>

namespace persimmonshelf {

namespace {

constexpr char compressed_marker = 0;
// Compressing shorter messages saves too little.
constexpr std::size_t min_compressed_bytes = 256;
// The fastest zlib level; the next levels reduce the size by only a few percent more.
constexpr int compression_level = 1;
constexpr std::size_t initial_buffer_bytes = 16 * 1024;

bool
should_compress(const wire::envelope& message)
{
  switch (message.body_case()) {
    case wire::envelope::kBeat:
    case wire::envelope::kDocument:
    case wire::envelope::kUsage:
    case wire::envelope::kReports:
      return true;
    default:
      return false;
  }
}

// Returns nullopt if the input is damaged or incomplete, or if the output exceeds the limit.
std::optional<std::string>
decompress(std::string_view compressed, std::size_t limit_bytes)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  // zlib does not modify its input, although `next_in` is not const.
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string output(std::min(initial_buffer_bytes, limit_bytes), '\0');
  int status = Z_OK;
  while (status == Z_OK) {
    if (stream.total_out == output.size()) {
      if (output.size() == limit_bytes) {
        break;
      }
      output.resize(std::min(output.size() * 4, limit_bytes));
    }
    stream.next_out = reinterpret_cast<Bytef*>(output.data()) + stream.total_out;
    stream.avail_out = static_cast<uInt>(output.size() - stream.total_out);
    status = inflate(&stream, Z_NO_FLUSH);
  }
  const bool complete = status == Z_STREAM_END && stream.avail_in == 0;
  output.resize(stream.total_out);
  inflateEnd(&stream);
  if (!complete) {
    return std::nullopt;
  }
  return output;
}

}

std::string
encode_frame(const wire::envelope& message)
{
  auto serialized = message.SerializeAsString();
  if (serialized.size() < min_compressed_bytes || !should_compress(message)) {
    return serialized;
  }
  auto length = compressBound(serialized.size());
  std::string compressed(length + 1, compressed_marker);
  const auto status = compress2(reinterpret_cast<Bytef*>(compressed.data()) + 1,
                                &length,
                                reinterpret_cast<const Bytef*>(serialized.data()),
                                serialized.size(),
                                compression_level);
  if (status != Z_OK) {
    return serialized;
  }
  compressed.resize(length + 1);
  return compressed;
}

std::optional<wire::envelope>
decode_frame(std::string_view bytes, std::size_t limit_bytes)
{
  if (bytes.empty() || bytes.size() > limit_bytes) {
    return std::nullopt;
  }
  std::optional<std::string> decompressed;
  if (bytes.front() == compressed_marker) {
    decompressed = decompress(bytes.substr(1), limit_bytes);
    if (!decompressed) {
      return std::nullopt;
    }
    bytes = *decompressed;
  }
  wire::envelope message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.body_case() == wire::envelope::BODY_NOT_SET) {
    return std::nullopt;
  }
  return message;
}

}
