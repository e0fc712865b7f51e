/** Generation of samples and draws of trainers. */
package org.marigoldmill.server.rollout;
