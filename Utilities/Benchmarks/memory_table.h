#pragma once

#include "Base/table.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace persimmonshelf {

// In-memory table service. Calls are queued and answered by `deliver`.
class memory_table
{
public:
  table_hooks hooks()
  {
    table_hooks calls;
    calls.get = [this](std::string key, auto done) {
      ++reads;
      answers_.push_back([this, key = std::move(key), done = std::move(done)] {
        const auto found = rows_.find(key);
        done(found == rows_.end() ? table_row{ key, {}, 0 } : found->second);
      });
    };
    calls.put = [this](std::string key, std::string value, std::uint64_t if_revision, auto done) {
      ++writes;
      answers_.push_back([this,
                          key = std::move(key),
                          value = std::move(value),
                          if_revision,
                          done = std::move(done)] {
        auto& row = rows_[key];
        row.key = key;
        const bool matches = row.revision == if_revision;
        if (matches) {
          row.value = value;
          ++row.revision;
        }
        done(table_write{ matches, row });
      });
    };
    calls.list = [this](const std::string& prefix, auto done) {
      ++reads;
      answers_.push_back([this, prefix, done = std::move(done)] {
        std::vector<table_row> found;
        for (const auto& [key, row] : rows_) {
          if (key.compare(0, prefix.size(), prefix) == 0) {
            found.push_back(row);
          }
        }
        done(std::move(found));
      });
    };
    return calls;
  }

  // Answers all queued calls.
  void deliver()
  {
    auto answers = std::move(answers_);
    answers_.clear();
    for (const auto& answer : answers) {
      answer();
    }
  }

  void set(const std::string& key, std::string value, std::uint64_t revision)
  {
    rows_[key] = { key, std::move(value), revision };
  }

  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

private:
  std::map<std::string, table_row> rows_;
  std::vector<std::function<void()>> answers_;
};

}
