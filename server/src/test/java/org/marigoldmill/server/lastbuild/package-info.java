/**
 * What the last landed build wrote, and checks that it and this build read each other's records.
 */
package org.marigoldmill.server.lastbuild;
