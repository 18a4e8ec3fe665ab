#include "boragepier/state/config_reader.h"

#include <algorithm>
#include <map>

namespace boragepier {

namespace {

constexpr std::size_t kScanPageRows = 100;
const std::string kConfigKeyPrefix = "config/";

TableOperation
GetOperation(std::string aKey)
{
  TableOperation operation;
  operation.key_ = std::move(aKey);
  return operation;
}

TableRequest
ScanRequest(const std::string& aAfter)
{
  TableOperation scan = GetOperation(kConfigKeyPrefix);
  scan.kind_ = TableOperation::Kind::Scan;
  scan.startAfter_ = aAfter;
  scan.limit_ = kScanPageRows;
  return { .operations_ = { std::move(scan) } };
}

// Returns a request for the rows that changed after aSerial and are newer than in the registry.
TableRequest
ReadChangedRows(const ConfigHead& aHead, std::uint64_t aSerial, const ConfigRegistry& aRegistry)
{
  std::map<ServiceName, std::uint64_t> versions;
  for (const ConfigHead::Change& change : aHead.changes_) {
    if (change.serial_ > aSerial) {
      versions[change.service_] = std::max(versions[change.service_], change.version_);
    }
  }
  TableRequest request;
  for (const auto& [service, version] : versions) {
    if (version > aRegistry.AcceptedVersion(service)) {
      request.operations_.push_back(GetOperation(ConfigRowKey(service)));
    }
  }
  return request;
}

void
DecodeRow(const TableRow& aRow, ConfigReader::Step& aStep)
{
  try {
    aStep.records_.push_back(DecodeConfigRecord(aRow.value_));
  } catch (const ConfigRecordError& error) {
    aStep.rowErrors_.push_back(aRow.key_ + ": " + error.what());
  }
}

} // namespace

TableRequest
ConfigReader::Begin()
{
  phase_ = Phase::Head;
  return { .operations_ = { GetOperation(std::string(kConfigHeadKey)) } };
}

ConfigReader::Step
ConfigReader::OnReply(const TableReply& aReply, const ConfigRegistry& aRegistry)
{
  Step step;
  if (aReply.status_ != TableReply::Status::Done || aReply.results_.empty()) {
    step.tableFailed_ = true;
    return step;
  }
  if (phase_ == Phase::Head) {
    return OnHead(aReply, aRegistry);
  }
  OnRows(aReply, step);
  if (!step.nextRequest_) {
    AdvanceSerial(headSerial_);
  }
  return step;
}

ConfigReader::Step
ConfigReader::OnHead(const TableReply& aReply, const ConfigRegistry& aRegistry)
{
  Step step;
  const std::optional<TableRow>& row = aReply.results_.front().row_;
  if (!row) {
    return step; // nothing has been published
  }
  ConfigHead head;
  try {
    head = DecodeConfigHead(row->value_);
  } catch (const ConfigRecordError& error) {
    step.rowErrors_.push_back(row->key_ + ": " + error.what());
    return step;
  }
  if (head.serial_ <= serial_) {
    return step;
  }
  headSerial_ = head.serial_;
  if (head.changes_.empty() || head.changes_.front().serial_ > serial_ + 1) {
    phase_ = Phase::Scan;
    step.nextRequest_ = ScanRequest(kConfigKeyPrefix);
    return step;
  }
  if (TableRequest request = ReadChangedRows(head, serial_, aRegistry);
      !request.operations_.empty()) {
    phase_ = Phase::Rows;
    step.nextRequest_ = std::move(request);
  } else {
    AdvanceSerial(headSerial_); // peers have already sent all changes
  }
  return step;
}

void
ConfigReader::OnRows(const TableReply& aReply, Step& aStep)
{
  for (const TableOperationResult& result : aReply.results_) {
    if (result.row_) {
      DecodeRow(*result.row_, aStep);
    }
    for (const TableRow& row : result.scanned_) {
      DecodeRow(row, aStep);
    }
  }
  if (const auto& rows = aReply.results_.front().scanned_;
      phase_ == Phase::Scan && rows.size() >= kScanPageRows) {
    aStep.nextRequest_ = ScanRequest(rows.back().key_);
  }
}

void
ConfigReader::AdvanceSerial(std::uint64_t aSerial)
{
  serial_ = std::max(serial_, aSerial);
}

} // namespace boragepier
