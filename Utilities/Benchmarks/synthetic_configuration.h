#pragma once

#include "Benchmarks/synthetic_fleet.h"

#include <cstddef>
#include <string>

namespace persimmonshelf {

// Text of a configuration with one route to all databases. Each database has 3 members in 3 of the
// 8 zones.
inline std::string
synthetic_configuration(std::size_t databases, std::size_t workspaces)
{
  std::string text = R"({"workspaces":[)";
  std::string names;
  for (std::size_t i = 0; i < workspaces; ++i) {
    const auto name = "workspace-" + std::to_string(i);
    text += (i == 0 ? "" : ",\n") + (R"({"name":")" + name + R"(","rate":30000,"burst":60000})");
    names += (i == 0 ? "\"" : ",\"") + name + "\"";
  }
  text += "],\n\"databases\":[";
  std::string all;
  for (std::size_t i = 0; i < databases; ++i) {
    const auto name = "database-" + std::to_string(i);
    all += (i == 0 ? "\"" : ",\"") + name + "\"";
    text += (i == 0 ? "" : ",\n") +
            (R"({"name":")" + name +
             R"(","slots":3,"connections":50,"default_max_age_ms":5000,"members":[)");
    for (std::size_t member = 0; member < 3; ++member) {
      text +=
        (member == 0 ? "" : ",") +
        (R"({"name":")" + name + "-" + std::to_string(member) + R"(","zone":")" +
         synthetic_fleet::zone(i + member).get() + R"(","address":"10.2.)" +
         std::to_string(i / 80) + "." + std::to_string(i % 80 * 3 + member + 1) + R"(:5000"})");
    }
    text += "]}";
  }
  text += "],\n\"routes\":[{\"name\":\"main\",\"databases\":[" + all + "],\"workspaces\":[" +
          names + "]}]}";
  return text;
}

}
