/** Parsing and validation of settings files in TOML. */
package org.marigoldmill.server.settings;
