/** Small stand-ins of the platform, the upstreams and the trainers, with faults to order. */
package org.marigoldmill.standin;
