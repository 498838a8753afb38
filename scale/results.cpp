#include "scale/results.hpp"

#include <cmath>
#include <ctime>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "scale/table_reader.hpp"

namespace merlinrun::scale {
namespace {

using nlohmann::json;

constexpr int kSchema = 1;

// A JSON value of a result file, with its key path for error messages.
class JsonValue {
 public:
  JsonValue(const std::filesystem::path& file, std::string key, const json& value)
      : file_(file), key_(std::move(key)), value_(value) {}

  JsonValue Member(const std::string& name) const {
    const std::string key = key_.empty() ? name : key_ + "." + name;
    if (!value_.is_object()) RejectInput(file_, key_.empty() ? "file" : key_, "must be an object");
    const auto found = value_.find(name);
    if (found == value_.end()) RejectInput(file_, key, "is missing");
    return {file_, key, *found};
  }

  std::string String() const {
    if (!value_.is_string()) RejectInput(file_, key_, "must be a string");
    return value_.get<std::string>();
  }

  bool Flag() const {
    if (!value_.is_boolean()) RejectInput(file_, key_, "must be true or false");
    return value_.get<bool>();
  }

  double Number() const {
    if (!value_.is_number()) RejectInput(file_, key_, "must be a number");
    return value_.get<double>();
  }

  std::uint64_t Count() const {
    if (!value_.is_number_unsigned()) RejectInput(file_, key_, "must be a non-negative integer");
    return value_.get<std::uint64_t>();
  }

  int SmallCount() const {
    const std::uint64_t count = Count();
    if (count > 1000000) RejectInput(file_, key_, "must be an integer of at most 1000000");
    return static_cast<int>(count);
  }

  std::vector<JsonValue> Items() const {
    if (!value_.is_array()) RejectInput(file_, key_, "must be a list");
    std::vector<JsonValue> items;
    for (std::size_t i = 0; i < value_.size(); ++i) {
      items.emplace_back(file_, key_ + "[" + std::to_string(i) + "]", value_[i]);
    }
    return items;
  }

  std::map<std::string, double> Numbers() const {
    if (!value_.is_object()) RejectInput(file_, key_, "must be an object");
    std::map<std::string, double> numbers;
    for (const auto& [name, unused] : value_.items()) numbers[name] = Member(name).Number();
    return numbers;
  }

 private:
  const std::filesystem::path& file_;
  std::string key_;
  const json& value_;
};

Sample ReadSample(const JsonValue& value) {
  Sample sample;
  sample.measure = value.Member("measure").String();
  sample.conditions = value.Member("conditions").Numbers();
  sample.figures = value.Member("figures").Numbers();
  sample.repeat = value.Member("repeat").SmallCount();
  return sample;
}

json ToJson(const Result& result) {
  json samples = json::array();
  for (const Sample& sample : result.samples) {
    samples.push_back({{"measure", sample.measure},
                       {"conditions", sample.conditions},
                       {"figures", sample.figures},
                       {"repeat", sample.repeat}});
  }
  return {{"schema", kSchema},
          {"scenario", {{"name", result.scenario}, {"text", result.scenario_text}}},
          {"seed", result.seed},
          {"repeats", result.repeats},
          {"started", result.started},
          {"seconds", result.seconds},
          {"machine",
           {{"cores", result.machine.cores}, {"cpu", result.machine.cpu}, {"kernel", result.machine.kernel}}},
          {"build", result.build},
          {"partial", result.partial},
          {"reasons", result.reasons},
          {"samples", std::move(samples)}};
}

}  // namespace

std::string BuildType() {
  std::string build = MERLINRUN_BUILD_TYPE;
#ifdef __SANITIZE_ADDRESS__
  build += " with sanitizers";
#endif
  return build;
}

std::string UtcNow() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[32] = "";
  return {text, std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts)};
}

std::filesystem::path ResultFile(const std::filesystem::path& folder) { return folder / "result.json"; }

void PrepareFolder(const std::filesystem::path& folder) {
  std::error_code error;
  if (std::filesystem::exists(std::filesystem::symlink_status(ResultFile(folder), error))) {
    RejectInput(ResultFile(folder), "--out", "contains a result already, which is not overwritten");
  }
  std::filesystem::create_directories(folder, error);
  if (error) RejectInput(folder, "--out", "cannot be created: " + error.message());
}

void WriteFile(const std::filesystem::path& file, const std::string& text) {
  std::filesystem::path temporary = file;
  temporary += ".new";
  std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  if (!out) throw std::runtime_error(temporary.string() + ": cannot be written");
  std::filesystem::rename(temporary, file);
}

void WriteResult(const Result& result, const std::filesystem::path& folder) {
  // Text from outside this program, for example in the error of a step, may not be valid UTF-8.
  WriteFile(ResultFile(folder), ToJson(result).dump(1, ' ', false, json::error_handler_t::replace) + "\n");
}

Result ReadResult(const std::filesystem::path& folder) {
  const std::filesystem::path file = ResultFile(folder);
  const json root = json::parse(ReadText(file), nullptr, false);
  if (root.is_discarded()) RejectInput(file, "file", "is not JSON");
  const JsonValue value(file, "", root);
  if (const std::uint64_t schema = value.Member("schema").Count(); schema != kSchema) {
    RejectInput(file, "schema",
                "is " + std::to_string(schema) + ", this program reads " + std::to_string(kSchema));
  }
  Result result;
  result.scenario = value.Member("scenario").Member("name").String();
  result.scenario_text = value.Member("scenario").Member("text").String();
  result.seed = value.Member("seed").Count();
  result.repeats = value.Member("repeats").SmallCount();
  result.started = value.Member("started").String();
  result.seconds = value.Member("seconds").Number();
  const JsonValue machine = value.Member("machine");
  result.machine.cores = static_cast<unsigned>(machine.Member("cores").SmallCount());
  result.machine.cpu = machine.Member("cpu").String();
  result.machine.kernel = machine.Member("kernel").String();
  result.build = value.Member("build").String();
  result.partial = value.Member("partial").Flag();
  for (const JsonValue& reason : value.Member("reasons").Items()) result.reasons.push_back(reason.String());
  for (const JsonValue& sample : value.Member("samples").Items())
    result.samples.push_back(ReadSample(sample));
  return result;
}

}  // namespace merlinrun::scale
