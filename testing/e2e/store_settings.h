#ifndef BORAGEPIER_TESTING_E2E_STORE_SETTINGS_H
#define BORAGEPIER_TESTING_E2E_STORE_SETTINGS_H

#include <stdlib.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

#include "testing/e2e/child_process.h"

namespace boragepier::testing {

/// Temporary file with the settings of an instance that reads the users' store. The destructor
/// removes it.
class StoreSettings
{
public:
  /// @param aInstance id of the instance
  /// @param aStorePort port of the store on 127.0.0.1
  /// @param aMore further sections
  /// @throws ChildProcessError if the file cannot be created
  StoreSettings(const std::string& aInstance,
                std::uint16_t aStorePort,
                const std::string& aMore = "")
  {
    std::string path = (std::filesystem::temp_directory_path() / "boragepier-XXXXXX").string();
    const int descriptor = ::mkstemp(path.data());
    if (descriptor < 0) {
      throw ChildProcessError("cannot create a temporary settings file");
    }
    ::close(descriptor);
    path_ = path;
    std::ofstream(path_) << "[instance]\nid = " << aInstance
                         << "\nzone = a\n[store]\naddress = 127.0.0.1:" << aStorePort
                         << "\n[fleet]\nfirst-start = true\n"
                         << aMore;
  }
  ~StoreSettings()
  {
    std::error_code ignored;
    std::filesystem::remove(path_, ignored);
  }
  StoreSettings(const StoreSettings&) = delete;
  StoreSettings& operator=(const StoreSettings&) = delete;

  std::string Path() const { return path_.string(); }

private:
  std::filesystem::path path_;
};

} // namespace boragepier::testing

#endif
