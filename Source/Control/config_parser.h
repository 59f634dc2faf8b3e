#pragma once

#include "Base/json_fields.h"
#include "Control/configuration.h"
#include "Control/json_locator.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonshelf {

// Parses and validates the operators' JSON configuration. Parsing continues after an error, so that
// one run reports all errors of the text.
class config_parser
{
public:
  // Same contract as configuration::parse.
  static result<configuration> parse(std::string_view text);

private:
  using item_reader = std::function<void(json_fields&, const std::string& path)>;

  explicit config_parser(std::string_view text);

  // Record one error or warning at the line of `path`.
  void add_error(const std::string& path, const std::string& reason);
  void add_warning(const std::string& path, const std::string& reason);
  // Returns the value of a getter. On failure, records the error and returns a default value.
  template<typename value>
  value value_or_default(result<value> parsed);
  void add_error(const error& failed);

  std::string read_name(json_fields& fields, std::string_view field);
  // Calls `read` for each object of an array field.
  void for_each_object(json_fields& fields,
                       std::string_view field,
                       bool required,
                       const item_reader& read);
  std::vector<std::pair<std::string, std::string>> read_names(json_fields& fields,
                                                              std::string_view field);
  void read_workspace(json_fields& fields, const std::string& path);
  void read_database(json_fields& fields, const std::string& path);
  void read_member(json_fields& fields, const std::string& path, database_config& database);
  void read_route(json_fields& fields, const std::string& path);
  void read_settings(json_fields& fields);
  void read_all(const boost::json::value& root);
  // Records an error if a name or address of this kind is already defined.
  void check_unique(const std::string& kind, const std::string& path, const std::string& name);

  json_locator locator_;
  configuration config_;
  std::multimap<std::size_t, std::string> errors_;
  std::multimap<std::size_t, std::string> warnings_;
  std::map<std::string, std::set<std::string>> defined_names_;
};

}
