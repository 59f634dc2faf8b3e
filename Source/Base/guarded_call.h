#pragma once

#include <exception>
#include <optional>
#include <string>

namespace persimmonshelf {

// Runs a handler of outside input, such as one message. Returns the description of an exception
// that it threw, so that the caller can drop the message or session and the process continues;
// empty if there was none.
template<typename function>
std::optional<std::string>
guarded_call(const function& handler)
{
  try {
    handler();
    return std::nullopt;
  } catch (const std::exception& failure) {
    return failure.what();
  } catch (...) {
    return "unknown exception";
  }
}

}
