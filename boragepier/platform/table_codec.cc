#include "boragepier/platform/table_codec.h"

#include <array>

#include <nlohmann/json.hpp>

#include "boragepier/platform/base64.h"

namespace boragepier::platform {

namespace {

using nlohmann::json;
using Kind = TableOperation::Kind;

// Names of the operations in messages, in the order of TableOperation::Kind.
constexpr std::array<std::string_view, 5> kOperationNames = {
  "get", "scan", "insert", "update", "delete",
};

void
Require(bool aCondition, const char* aMessage)
{
  if (!aCondition) {
    throw ProtocolError(aMessage);
  }
}

// Calls aFunction and reports errors of the JSON library as ProtocolError.
template<typename Function>
auto
ConvertJsonErrors(Function aFunction)
{
  try {
    return aFunction();
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("invalid message: ") + error.what());
  }
}

// The functions below require exactly the type of the protocol: the JSON library would convert
// -1 or 1.5 to an unsigned integer.
std::uint64_t
UnsignedMember(const json& aJson, const char* aName)
{
  const json& value = aJson.at(aName);
  Require(value.is_number_unsigned(), "unsigned integer expected");
  return value.get<std::uint64_t>();
}

bool
BooleanMember(const json& aJson, const char* aName)
{
  const json& value = aJson.at(aName);
  Require(value.is_boolean(), "boolean expected");
  return value.get<bool>();
}

std::string
Base64Member(const json& aJson, const char* aName)
{
  std::optional<std::string> bytes = DecodeBase64(aJson.at(aName).get_ref<const std::string&>());
  Require(bytes.has_value(), "value is not valid base64");
  return *std::move(bytes);
}

json
EncodeRow(const TableRow& aRow)
{
  return { { "key", aRow.key_ },
           { "value", EncodeBase64(aRow.value_) },
           { "revision", aRow.revision_ } };
}

TableRow
DecodeRow(const json& aJson)
{
  TableRow row{ aJson.at("key").get<std::string>(),
                Base64Member(aJson, "value"),
                UnsignedMember(aJson, "revision") };
  Require(row.revision_ > 0, "row has revision 0");
  return row;
}

json
EncodeOperation(const TableOperation& aOperation)
{
  json encoded = { { "op", kOperationNames.at(static_cast<std::size_t>(aOperation.kind_)) },
                   { "key", aOperation.key_ } };
  if (aOperation.kind_ == Kind::Insert || aOperation.kind_ == Kind::Update) {
    encoded["value"] = EncodeBase64(aOperation.value_);
  }
  if (aOperation.kind_ == Kind::Update || aOperation.kind_ == Kind::Delete) {
    encoded["revision"] = aOperation.expectedRevision_;
  }
  if (aOperation.kind_ == Kind::Scan) {
    encoded["start_after"] = aOperation.startAfter_;
    encoded["limit"] = aOperation.limit_;
  }
  return encoded;
}

TableOperation
DecodeOperation(const json& aJson)
{
  const auto& name = aJson.at("op").get_ref<const std::string&>();
  const auto found = std::ranges::find(kOperationNames, name);
  Require(found != kOperationNames.end(), "unknown operation");
  TableOperation operation{ .kind_ = static_cast<Kind>(found - kOperationNames.begin()),
                            .key_ = aJson.at("key").get<std::string>() };
  if (operation.kind_ == Kind::Insert || operation.kind_ == Kind::Update) {
    operation.value_ = Base64Member(aJson, "value");
  }
  if (operation.kind_ == Kind::Update || operation.kind_ == Kind::Delete) {
    operation.expectedRevision_ = UnsignedMember(aJson, "revision");
  }
  if (operation.kind_ == Kind::Scan) {
    operation.startAfter_ = aJson.at("start_after").get<std::string>();
    operation.limit_ = UnsignedMember(aJson, "limit");
  }
  return operation;
}

void
CheckScanResult(const TableOperation& aOperation, const TableOperationResult& aResult)
{
  Require(aResult.scanned_.size() <= aOperation.limit_, "scan returned more rows than its limit");
  std::string_view previousKey = aOperation.startAfter_;
  for (const TableRow& row : aResult.scanned_) {
    Require(row.key_.starts_with(aOperation.key_) && row.key_ > previousKey,
            "scan returned a row outside its range or out of order");
    previousKey = row.key_;
  }
}

void
CheckResult(const TableOperation& aOperation, const TableOperationResult& aResult)
{
  const std::optional<TableRow>& row = aResult.row_;
  Require(!row || row->key_ == aOperation.key_, "result holds the row of another key");
  switch (aOperation.kind_) {
    case Kind::Scan:
      CheckScanResult(aOperation, aResult);
      break;
    case Kind::Insert:
    case Kind::Update:
      Require(!aResult.applied_ || (row && row->value_ == aOperation.value_),
              "row does not hold the written value");
      break;
    case Kind::Delete:
      Require(!aResult.applied_ || !row, "result of a successful delete holds a row");
      break;
    case Kind::Get:
      break;
  }
}

// Checks each result against its operation. The results of an atomic request are either all applied
// or all not applied, so an operation in it can fail because of the condition of another one.
// Without atomicity an operation fails only because of its own row.
void
CheckResults(const TableRequest& aRequest, const std::vector<TableOperationResult>& aResults)
{
  for (std::size_t index = 0; index < aResults.size(); ++index) {
    const TableOperation& operation = aRequest.operations_[index];
    const TableOperationResult& result = aResults[index];
    CheckResult(operation, result);
    if (aRequest.atomic_) {
      Require(result.applied_ == aResults.front().applied_, "atomic request was applied in part");
    } else {
      Require(result.applied_ || (operation.kind_ != Kind::Get && operation.kind_ != Kind::Scan),
              "read is marked as not applied");
      Require(result.applied_ || operation.kind_ != Kind::Insert || result.row_,
              "failed insert lacks the existing row");
    }
  }
}

} // namespace

std::string
EncodeTableRequest(const TableRequest& aRequest)
{
  return ConvertJsonErrors([&] {
    json operations = json::array();
    for (const TableOperation& operation : aRequest.operations_) {
      operations.push_back(EncodeOperation(operation));
    }
    return json{ { "atomic", aRequest.atomic_ }, { "operations", operations } }.dump();
  });
}

TableRequest
DecodeTableRequest(std::string_view aText)
{
  return ConvertJsonErrors([&] {
    const json parsed = json::parse(aText);
    TableRequest request;
    request.atomic_ = BooleanMember(parsed, "atomic");
    Require(parsed.at("operations").is_array(), "operations is not an array");
    for (const json& operation : parsed.at("operations")) {
      request.operations_.push_back(DecodeOperation(operation));
    }
    return request;
  });
}

std::string
EncodeTableResults(const std::vector<TableOperationResult>& aResults)
{
  json results = json::array();
  for (const TableOperationResult& result : aResults) {
    json encoded = { { "applied", result.applied_ } };
    if (result.row_) {
      encoded["row"] = EncodeRow(*result.row_);
    }
    json rows = json::array();
    for (const TableRow& row : result.scanned_) {
      rows.push_back(EncodeRow(row));
    }
    encoded["rows"] = std::move(rows);
    results.push_back(std::move(encoded));
  }
  return json{ { "results", results } }.dump();
}

std::vector<TableOperationResult>
DecodeTableResults(std::string_view aText, const TableRequest& aRequest)
{
  return ConvertJsonErrors([&] {
    const json parsed = json::parse(aText);
    const json& encodedResults = parsed.at("results");
    Require(encodedResults.is_array() && encodedResults.size() == aRequest.operations_.size(),
            "wrong number of results");
    std::vector<TableOperationResult> results;
    for (const json& encodedResult : encodedResults) {
      TableOperationResult result{ .applied_ = BooleanMember(encodedResult, "applied") };
      if (encodedResult.contains("row")) {
        result.row_ = DecodeRow(encodedResult.at("row"));
      }
      Require(encodedResult.at("rows").is_array(), "rows is not an array");
      for (const json& row : encodedResult.at("rows")) {
        result.scanned_.push_back(DecodeRow(row));
      }
      results.push_back(std::move(result));
    }
    CheckResults(aRequest, results);
    return results;
  });
}

std::string
EncodeNotApplied(std::string_view aReason)
{
  return json{ { "not_applied", true }, { "reason", aReason } }.dump();
}

bool
IsNotApplied(std::string_view aText)
{
  const json parsed = json::parse(aText, nullptr, false);
  return parsed.is_object() && parsed.contains("not_applied") && parsed["not_applied"] == true;
}

} // namespace boragepier::platform
