namespace marldale::gateway {
const char* programName() { return "marldale"; }
}  // namespace marldale::gateway
