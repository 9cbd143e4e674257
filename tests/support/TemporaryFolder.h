#pragma once

#include <filesystem>
#include <stdexcept>
#include <stdlib.h>
#include <string>
#include <utility>

namespace dogwoodhall {

// A folder under the system's temporary directory that is removed with the object.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string path
            = (std::filesystem::temp_directory_path() / ("dogwoodhall-test-" + std::string(6, 'X'))).string();
        if (!::mkdtemp(path.data()))
            throw std::runtime_error("cannot create a folder under the temporary directory");
        m_path = path;
    }
    TemporaryFolder(TemporaryFolder&& other) noexcept
        : m_path(std::exchange(other.m_path, {}))
    {
    }
    TemporaryFolder& operator=(TemporaryFolder&&) = delete;
    ~TemporaryFolder()
    {
        std::error_code ec;
        if (!m_path.empty())
            std::filesystem::remove_all(m_path, ec);
    }

    std::filesystem::path operator/(const std::string& name) const { return m_path / name; }

private:
    std::filesystem::path m_path;
};

} // namespace dogwoodhall
