#include <doctest/doctest.h>

#include "ProxyNode/decision_log.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <rapidcheck.h>

#include <string>

using namespace persimmonshelf;

// Guards against lines that no reader of the log accepts: ids of callers may be any bytes, and long
// texts were cut within a character.
TEST_CASE("any text is a valid value of a log line")
{
  const auto readable = [](const std::string& text) {
    const auto shown = log_text(text);
    boost::system::error_code failure;
    const auto read =
      boost::json::parse(boost::json::serialize(boost::json::value(shown)), failure);
    return !failure && read.as_string() == std::string_view(shown);
  };
  CHECK(rc::check("bytes", [&](const std::string& text) { RC_ASSERT(readable(text)); }));
  CHECK(readable("1\xff"
                 "2"));
  CHECK(readable(std::string(511, 'a') + "\xc3\xa4"));
  for (const std::string text :
       { "", "plain", "\xc3\xa4 \xe2\x82\xac \xf0\x9f\x98\x80", "a\r\n\t" }) {
    CHECK(log_text(text) == text);
  }
  CHECK(log_text("a\xc3") == "a\xef\xbf\xbd");
  CHECK(log_text("\xed\xa0\x80\xc0\x80").find_first_of("\xed\xa0\xc0") == std::string::npos);
  CHECK(log_text(std::string(1 << 20, '\xff')).size() <= 3 * 512);
}
