// Undici loads HTTP/2 with TLS and cryptography at each start; nodes speak HTTP/1.1 only. As where Node was built without it.
export const constants = {};
