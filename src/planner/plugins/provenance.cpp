#include "plugins/provenance.h"

#include <fcntl.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace marldale::plugins {
namespace {

struct Free {
    void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
    void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
    void operator()(std::FILE* file) const { std::fclose(file); }
};

[[noreturn]] void refuse(const std::string& path, const std::string& why) {
    throw std::runtime_error(path + ": " + why);
}

class Descriptor {
public:
    explicit Descriptor(const std::string& path)
        : fd_(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)) {
        if (fd_ < 0) refuse(path, std::strerror(errno));
    }
    ~Descriptor() { ::close(fd_); }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    [[nodiscard]] int get() const { return fd_; }

private:
    int fd_;
};

bool sameAs(const struct stat& a, const struct stat& b) {
    return a.st_size == b.st_size && a.st_mtim.tv_sec == b.st_mtim.tv_sec &&
           a.st_mtim.tv_nsec == b.st_mtim.tv_nsec && a.st_ino == b.st_ino && a.st_dev == b.st_dev;
}

}  // namespace

std::string readText(const std::string& path) {
    const Descriptor file(path);
    struct stat before {
    }, after{}, named{};
    if (::fstat(file.get(), &before) != 0) refuse(path, std::strerror(errno));
    if (!S_ISREG(before.st_mode)) refuse(path, "it is no regular file");
    if (static_cast<std::size_t>(before.st_size) > kTextBytesMost)
        refuse(path, "it is larger than " + std::to_string(kTextBytesMost) + " bytes");
    std::string out(static_cast<std::size_t>(before.st_size), '\0');
    std::size_t at = 0;
    while (at < out.size()) {
        const ssize_t n = ::read(file.get(), out.data() + at, out.size() - at);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) break;
        at += static_cast<std::size_t>(n);
    }
    const bool still = ::fstat(file.get(), &after) == 0 && sameAs(before, after) && at == out.size() &&
                       ::stat(path.c_str(), &named) == 0 && sameAs(before, named);
    if (!still) refuse(path, "it is being written or replaced; nothing of it is taken");
    return out;
}

std::string sha256(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("no SHA-256 can be had");
    std::string out;
    for (unsigned i = 0; i < size; ++i) {
        std::array<char, 3> hex{};
        std::snprintf(hex.data(), hex.size(), "%02x", digest[i]);
        out += hex.data();
    }
    return out;
}

bool isSigned(std::string_view bytes, std::string_view signature, const std::string& keyFile) {
    const std::unique_ptr<std::FILE, Free> file(std::fopen(keyFile.c_str(), "re"));
    if (!file) refuse(keyFile, std::strerror(errno));
    const std::unique_ptr<EVP_PKEY, Free> key(PEM_read_PUBKEY(file.get(), nullptr, nullptr, nullptr));
    if (!key || EVP_PKEY_base_id(key.get()) != EVP_PKEY_ED25519)
        refuse(keyFile, "it is no Ed25519 public key");
    const std::unique_ptr<EVP_MD_CTX, Free> context(EVP_MD_CTX_new());
    if (!context || EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1)
        return false;
    return EVP_DigestVerify(context.get(), reinterpret_cast<const unsigned char*>(signature.data()),
                            signature.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                            bytes.size()) == 1;
}

std::string trustedText(const std::string& path, const std::string& hash, const std::string& publicKey) {
    std::string out = readText(path);
    std::string wanted = hash;
    std::transform(wanted.begin(), wanted.end(), wanted.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    if (!wanted.empty() && sha256(out) != wanted)
        refuse(path, "its SHA-256 is " + sha256(out) + ", not the one in the settings");
    if (!publicKey.empty() && !isSigned(out, readText(path + ".sig"), publicKey))
        refuse(path, "its signature is not by the key in " + publicKey);
    return out;
}

}  // namespace marldale::plugins
