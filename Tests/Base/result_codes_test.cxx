#include <doctest/doctest.h>

#include "Base/result_code.h"

#include <fstream>
#include <sstream>
#include <string>

using namespace persimmonshelf;

// Guards against documentation that differs from the result codes, names and outcomes in the code.
TEST_CASE("docs/result-codes.md lists exactly the result codes of the program")
{
  std::ifstream file(std::string(PERSIMMONSHELF_SOURCE_DIR) + "/../docs/result-codes.md");
  std::ostringstream text;
  text << file.rdbuf();
  std::string rows;
  for (const auto& entry : result_code_table()) {
    rows += "| " + std::to_string(static_cast<unsigned>(entry.code)) + " | " +
            std::string(entry.name) + " | " + std::string(name_of(entry.outcome)) + " | " +
            std::string(entry.meaning) + " |\n";
  }
  INFO("expected rows:\n", rows);
  CHECK(text.str().find("| --- | --- | --- | --- |\n" + rows + "\n") != std::string::npos);
}
