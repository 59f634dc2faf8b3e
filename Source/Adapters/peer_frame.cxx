#include "Adapters/peer_frame.h"

#include <zlib.h>

#include <algorithm>

namespace persimmonshelf {

namespace {

constexpr char packed_mark = 0;
// Shorter messages gain too little.
constexpr std::size_t smallest_packed = 256;
// The fastest level; the next ones gain a few percent.
constexpr int level = 1;
constexpr std::size_t first_buffer = 16 * 1024;

bool
worth_packing(const wire::envelope& message)
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

// The unpacked bytes, or none if they are damaged or over the limit.
std::optional<std::string>
unpack(std::string_view packed, std::size_t limit_bytes)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  // zlib does not change its input but declares it so.
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(packed.data()));
  stream.avail_in = static_cast<uInt>(packed.size());
  std::string text(std::min(first_buffer, limit_bytes), '\0');
  int state = Z_OK;
  while (state == Z_OK) {
    if (stream.total_out == text.size()) {
      if (text.size() == limit_bytes) {
        break;
      }
      text.resize(std::min(text.size() * 4, limit_bytes));
    }
    stream.next_out = reinterpret_cast<Bytef*>(text.data()) + stream.total_out;
    stream.avail_out = static_cast<uInt>(text.size() - stream.total_out);
    state = inflate(&stream, Z_NO_FLUSH);
  }
  const bool whole = state == Z_STREAM_END && stream.avail_in == 0;
  text.resize(stream.total_out);
  inflateEnd(&stream);
  if (!whole) {
    return std::nullopt;
  }
  return text;
}

}

std::string
encode_frame(const wire::envelope& message)
{
  auto plain = message.SerializeAsString();
  if (plain.size() < smallest_packed || !worth_packing(message)) {
    return plain;
  }
  auto length = compressBound(plain.size());
  std::string packed(length + 1, packed_mark);
  const auto packing = compress2(reinterpret_cast<Bytef*>(packed.data()) + 1,
                                 &length,
                                 reinterpret_cast<const Bytef*>(plain.data()),
                                 plain.size(),
                                 level);
  if (packing != Z_OK) {
    return plain;
  }
  packed.resize(length + 1);
  return packed;
}

std::optional<wire::envelope>
decode_frame(std::string_view bytes, std::size_t limit_bytes)
{
  if (bytes.empty() || bytes.size() > limit_bytes) {
    return std::nullopt;
  }
  std::optional<std::string> unpacked;
  if (bytes.front() == packed_mark) {
    unpacked = unpack(bytes.substr(1), limit_bytes);
    if (!unpacked) {
      return std::nullopt;
    }
    bytes = *unpacked;
  }
  wire::envelope message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.body_case() == wire::envelope::BODY_NOT_SET) {
    return std::nullopt;
  }
  return message;
}

}
